package replica

import "time"

// ObserverView is an observer as the leader sees it: a host that receives the log and does not vote.
type ObserverView struct {
	Member   Member
	CaughtUp bool
}

// SetDesiredVoters replaces the list of hosts that should be voters. See Options.DesiredVoters.
func (r *Replica) SetDesiredVoters(members []Member) { r.options.DesiredVoters = members }

// SetContacts replaces the hosts that are asked for the log. See Options.Contacts.
func (r *Replica) SetContacts(hosts []string) { r.options.Contacts = hosts }

// Observers returns the observers known to the leader. It is empty on a replica that is not the leader.
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
// replica that is not the leader, or has been the leader for no longer than that duration.
func (r *Replica) SilentVoters(d time.Duration) []string {
	if r.role != Leader {
		return nil
	}
	var out []string
	for _, p := range r.lead.progress {
		if p.voter && r.now-r.lead.since > d && !r.answeredWithin(p, d) {
			out = append(out, p.member.Host)
		}
	}
	return out
}

// Role returns the role of this replica.
func (r *Replica) Role() Role { return r.role }

// AppliedIndex returns the index of the last committed entry that Take returned, or of a later snapshot.
func (r *Replica) AppliedIndex() uint64 { return r.applied }
