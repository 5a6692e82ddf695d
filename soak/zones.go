package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

// Times of the operator who takes zones out of service.
const (
	zonePeriod     = 100 * time.Millisecond // Between two zones.
	zoneOrderLimit = 15 * time.Second       // How long an order is repeated.
	zoneCheckLimit = 10 * time.Second       // How long the hosts may take to show the state of the zones after the faults.
)

// orderZones takes zones without workers out of service and brings them back, or the other way round, until ctx ends. It
// repeats each order at another host until it is acknowledged.
func (c *checker) orderZones(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.parent.options.Seed, 14))
	op := &fleet.Operator{ControlAddresses: c.parent.controlAddresses()}
	for n := 0; ctx.Err() == nil; n++ {
		zone, host := fmt.Sprintf("x%d", n), random.IntN(coreHosts)
		methods := []string{http.MethodPost, http.MethodDelete}
		out := random.IntN(2) == 0
		if out {
			slices.Reverse(methods)
		}
		if c.orderZone(op, host, methods[0], zone) && c.orderZone(op, host+1, methods[1], zone) {
			c.mu.Lock()
			c.zonesOut[zone] = out
			c.mu.Unlock()
		}
		time.Sleep(zonePeriod)
	}
}

// orderZone repeats an order, at one host after the other, and returns whether it was acknowledged.
func (c *checker) orderZone(op *fleet.Operator, host int, method, zone string) bool {
	for end := time.Now().Add(zoneOrderLimit); time.Now().Before(end); host++ {
		status, _ := op.Once(context.Background(), host, method, "/evacuate/"+zone, nil)
		c.parent.logEvent("zone_order zone=%s method=%s host=%d status=%d", zone, method, host%coreHosts, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(submitRetry)
	}
	return false
}

// checkZones checks that each zone is in the state that was acknowledged last.
func (c *checker) checkZones() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.parent.cores {
		wrong, err := []string{}, error(nil)
		for end := time.Now().Add(zoneCheckLimit); time.Now().Before(end); time.Sleep(statePeriod) {
			var out []string
			if out, err = p.zonesOut(c.parent.ports); err != nil {
				continue
			}
			wrong = wrong[:0]
			for zone, want := range c.zonesOut {
				if slices.Contains(out, zone) != want {
					wrong = append(wrong, zone)
				}
			}
			if len(wrong) == 0 {
				break
			}
		}
		if err != nil {
			c.addViolationLocked("%s does not show the state of the zones: %v", p.name, err)
		}
		for _, zone := range wrong {
			c.addViolationLocked("EVAC zone %s is not in the state that was acknowledged last, out=%v, on %s", zone, c.zonesOut[zone], p.name)
		}
	}
}

// zonesOut asks a core host for the zones that are out of service.
func (p *process) zonesOut(po ports) ([]string, error) {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/v1/domain", p.proxyIP, po.metrics))
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	var status api.DomainStatus
	err = json.NewDecoder(r.Body).Decode(&status)
	return status.ZonesOut, err
}
