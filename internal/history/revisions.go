package history

import (
	"time"
)

// CheckRevisions checks that the revision in force in a zone never decreases as one host sees it, and that an accepted
// change is in force within InForceWithin in every zone that is connected. Only zones that have adopted a revision count.
func CheckRevisions(events []Event, _ Bounds) []Violation {
	f := ruleViolations{rule: RuleRevisions}
	type view struct{ zone, host string }
	seen := map[view]uint64{}
	zones := map[string][]Event{}
	for _, e := range events {
		if e.Kind != RevisionAdopted {
			continue
		}
		v := view{e.Zone, e.Host}
		if e.Revision < seen[v] {
			f.add(e.Time, "zone %s went back from revision %d to %d on host %s", e.Zone, seen[v], e.Revision, e.Host)
		}
		seen[v] = max(seen[v], e.Revision)
		zones[e.Zone] = append(zones[e.Zone], e)
	}
	for _, zone := range sortedKeys(zones) {
		f.checkInForce(events, zone, zones[zone])
	}
	return f.list
}

func (f *ruleViolations) checkInForce(events []Event, zone string, adoptions []Event) {
	end := endTime(events)
	for _, e := range events {
		if e.Kind != CommandAnswered || e.Code != "" || e.Zone != "" || e.Revision == 0 {
			continue
		}
		limit, decided := deadlineOf(events, zone, e.Time)
		if !decided || end <= limit {
			continue
		}
		if at, ok := adoptedAt(adoptions, e.Revision); !ok || at > limit {
			f.add(limit, "revision %d was not in force in zone %s within %v", e.Revision, zone, InForceWithin)
		}
	}
}

func adoptedAt(adoptions []Event, revision uint64) (int64, bool) {
	for _, a := range adoptions {
		if a.Revision >= revision {
			return a.Time, true
		}
	}
	return 0, false
}

// deadlineOf returns when a change that was accepted at a time must be in force in a zone: InForceWithin after the
// acceptance, or after the end of the last interruption of the zone's connection before that. It returns false if the zone
// stays disconnected.
func deadlineOf(events []Event, zone string, accepted int64) (int64, bool) {
	since, connected := accepted, true
	for _, e := range events {
		if e.Kind != Fault || (e.Zone != zone && e.Zone != "") {
			continue
		}
		if connected && e.Time > accepted && e.Time-since > int64(InForceWithin) {
			break
		}
		switch e.Message {
		case FaultDisconnect:
			connected = false
		case FaultConnect:
			if !connected {
				connected, since = true, max(accepted, e.Time)
			}
		}
	}
	return since + int64(InForceWithin), connected
}

// leaseSpan is the time in which one host held the leader lease of a group.
type leaseSpan struct {
	host     string
	epoch    uint64
	from, to int64
	ended    bool
}

// CheckLeases checks that the leader leases of a group do not overlap, that no two hosts hold one in the same epoch,
// and that epochs grow. Hosts record the time at which a lease expired, also if they notice it later, so that a host that
// gets no processor needs no exception. Of a lease whose end is not recorded, because its host was killed, only the epoch
// is checked.
func CheckLeases(events []Event, _ Bounds) []Violation {
	f := ruleViolations{rule: RuleLeases}
	groups := leaseSpans(events)
	for _, group := range sortedKeys(groups) {
		spans := groups[group]
		for i, s := range spans {
			for _, later := range spans[i+1:] {
				if later.host == s.host && later.epoch == s.epoch {
					continue
				}
				if later.epoch <= s.epoch {
					f.add(later.from, "group %s: host %s got the lease of epoch %d after epoch %d of host %s", group,
						later.host, later.epoch, s.epoch, s.host)
				}
				if s.ended && later.from < s.to {
					f.add(later.from, "group %s: the lease of host %s (epoch %d) overlaps that of host %s (epoch %d) by %v",
						group, later.host, later.epoch, s.host, s.epoch, time.Duration(s.to-later.from))
				}
			}
		}
	}
	return f.list
}

// leaseSpans returns the spans of each group, ordered by their begin.
func leaseSpans(events []Event) map[string][]*leaseSpan {
	groups := map[string][]*leaseSpan{}
	open := map[string]map[string]*leaseSpan{} // By group and host.
	for _, e := range events {
		switch e.Kind {
		case LeaseGranted:
			if open[e.Group] == nil {
				open[e.Group] = map[string]*leaseSpan{}
			}
			if s := open[e.Group][e.Host]; s != nil && s.epoch == e.Epoch {
				continue
			}
			s := &leaseSpan{host: e.Host, epoch: e.Epoch, from: e.Time}
			open[e.Group][e.Host] = s
			groups[e.Group] = append(groups[e.Group], s)
		case LeaseEnded:
			s := open[e.Group][e.Host]
			if s == nil || s.epoch != e.Epoch {
				continue
			}
			s.ended, s.to = true, e.Time
			delete(open[e.Group], e.Host)
		}
	}
	return groups
}
