package replica

import "time"

// ObserverView is a host that follows the log without a vote, as the leader sees it.
type ObserverView struct {
	Member   Member
	CaughtUp bool
}

// SetDesired replaces the hosts that should vote. See Options.Desired.
func (r *Replica) SetDesired(members []Member) { r.o.Desired = members }

// SetContacts replaces the hosts that an observer asks for the log.
func (r *Replica) SetContacts(hosts []string) { r.o.Contacts = hosts }

// Observers returns the hosts that follow the log without a vote. It is empty on a replica that does not lead.
func (r *Replica) Observers() []ObserverView {
	if r.role != Leader {
		return nil
	}
	var out []ObserverView
	for _, p := range r.lead.progress {
		if !p.voter {
			out = append(out, ObserverView{Member: p.member, CaughtUp: r.caughtUp(p)})
		}
	}
	return out
}

// SilentVoters returns the hosts of the voters that have not answered a heartbeat for a duration. It is empty on a
// replica that does not lead.
func (r *Replica) SilentVoters(d time.Duration) []string {
	if r.role != Leader {
		return nil
	}
	var out []string
	for _, p := range r.lead.progress {
		if p.voter && r.now-r.lead.began > d && !r.answeredWithin(p, d) {
			out = append(out, p.member.Host)
		}
	}
	return out
}

// Role returns the role of this replica.
func (r *Replica) Role() Role { return r.role }

// Applied returns the index of the last entry that came out of Take.
func (r *Replica) Applied() uint64 { return r.applied }
