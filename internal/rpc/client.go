package rpc

import (
	"net"
	"net/http"
	"time"
)

// connectTimeout bounds the wait for a connection. A host behind a partition does not answer at all.
const connectTimeout = 500 * time.Millisecond

// NewClient returns a client for calls between hosts. Calls end after the timeout, and their connection with them, so
// that a connection that has gone silent is not used again.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout, KeepAlive: 5 * time.Second}).DialContext,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
		},
	}
}
