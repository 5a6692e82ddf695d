package corehost

import (
	"context"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/rpc"
)

// Times of the discovery of core hosts.
const (
	discoveryInterval = time.Second
	discoveryTimeout  = 700 * time.Millisecond
)

// discoverHosts asks the known hosts which other core hosts they know, as long as no leader is known. A host that was
// down for a long time, or that lost its disk, may know only hosts that do not lead, and an observer gets the log from
// the leader only.
func (h *Host) discoverHosts(ctx context.Context) error {
	client := rpc.NewHTTPClient(discoveryTimeout)
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		h.mu.Lock()
		knownHosts, leader := slices.Clone(h.knownHosts), h.replica.Leader()
		h.mu.Unlock()
		if leader != "" {
			continue
		}
		if learned := h.queryHosts(ctx, client, knownHosts); len(learned) > 0 {
			h.mu.Lock()
			h.setKnownHosts(append(slices.Clone(h.knownHosts), learned...))
			h.mu.Unlock()
		}
	}
}

// queryHosts asks hosts, in parallel, and returns the core hosts that they know.
func (h *Host) queryHosts(ctx context.Context, client *http.Client, hosts []string) []string {
	answers := make([][]string, len(hosts))
	var g errgroup.Group
	for i, host := range hosts {
		if host == h.settings.Address {
			continue
		}
		g.Go(func() error {
			r, err := rpc.NewDomainProtobufClient("http://"+peerAddress(host, h.settings.PeerPort), client).Locate(ctx, &rpc.LocateRequest{})
			if err != nil {
				return nil // Other hosts may answer; this one is asked again in the next round.
			}
			answers[i] = r.Hosts
			if r.Leader != "" {
				answers[i] = append(answers[i], r.Leader)
			}
			return nil
		})
	}
	_ = g.Wait() // The functions return no errors.
	return slices.Concat(answers...)
}
