package rpc

import (
	"net"
	"net/http"
	"time"
)

// connectTimeout bounds the wait for a connection. A host that is cut off by a network partition does not answer at
// all.
const connectTimeout = 500 * time.Millisecond

// NewHTTPClient returns a client for calls between hosts. A call ends after the timeout and closes its connection, so that
// a connection on which the host no longer answers is not used again. With 0 only the context of a call bounds its
// time.
func NewHTTPClient(timeout time.Duration) *http.Client {
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
