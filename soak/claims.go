package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// claimPeriod is the longest time between two reports that contradict a registration.
const claimPeriod = 300 * time.Millisecond

// reportFields are the fields that every worker sends. A report without one of them names no worker.
var reportFields = []string{"service", "address", "zone", "version", "slots", "state", "cold_left_ms", "capacity", "labels", "clock_ms", "sequence"}

// claimAddresses sends reports of other writers with the addresses of workers until ctx ends: incomplete ones, under any
// identifier, and complete ones of workers that do not exist. The workers run on, so no task of theirs may start elsewhere.
func (r *run) claimAddresses(ctx context.Context) {
	time.Sleep(senderStart)
	s := &sender{
		run: r, random: rand.New(rand.NewPCG(r.options.Seed, 3_000)),
		client: &http.Client{Timeout: senderTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second}},
	}
	for ctx.Err() == nil {
		s.claimOne()
		time.Sleep(between(s.random, 0, claimPeriod))
	}
	s.client.CloseIdleConnections()
}

// claimOne sends one such report to a core host.
func (s *sender) claimOne() {
	slot := pick(s.random, s.run.workers)
	control := net.JoinHostPort(pick(s.random, s.run.cores).proxyIP, fmt.Sprint(s.run.ports.control))
	other := fmt.Sprintf("i-claim-%d", s.random.IntN(20))
	born := time.Now().UnixMilli() + int64(s.random.IntN(10_000)) - 5_000
	report := map[string]any{
		"service": service, "address": slot.address(s.run.ports.control), "zone": fmt.Sprintf("z%d", slot.index%2), "version": "v1", "slots": 8,
		"state": "ready", "cold_left_ms": 0, "capacity": map[string]int{"cpu": 64000, "mem_mb": 65536, "gpus": 8}, "labels": []string{"a", "r"},
		"clock_ms": 482113, "sequence": 4, "born": born,
	}
	if s.random.IntN(2) == 0 {
		s.call(control, http.MethodPut, "/instances/"+other, nil, encode(report))
		return
	}
	id := pick(s.random, []string{other, slot.current().Incarnation().ID})
	for range 1 + s.random.IntN(len(reportFields)) {
		delete(report, pick(s.random, reportFields))
	}
	s.refused("an incomplete report", control, http.MethodPut, "/instances/"+id, encode(report))
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // All values are built here.
	}
	return data
}
