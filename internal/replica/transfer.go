package replica

import "time"

// TransferLeadership starts to transfer leadership to the voter on a host, or to the best target if the host is empty.
// It does nothing on a replica that is not the leader, is already transferring leadership or finds no caught-up target.
// Proposals are refused until the transfer ends.
func (r *Replica) TransferLeadership(now time.Duration, host string) {
	r.now = now
	if r.role != Leader || r.lead.transfer != nil {
		return
	}
	p := r.transferTarget(host)
	if p == nil {
		return
	}
	r.lead.transfer = &transfer{target: identity(p.member), deadline: now + r.options.Timing.ElectionMin}
	r.tickTransfer()
}

// transferTarget returns the voter on the host if it is caught up. For an empty host it returns the best caught-up
// voter: a local voter before a witness, then one with a disk, then the one with the highest match index. A witness is
// taken only if there is no local voter and this replica is not a witness itself.
func (r *Replica) transferTarget(host string) *progress {
	var best *progress
	for _, p := range r.lead.progress {
		if !p.voter || !r.caughtUp(p) || (host != "" && p.member.Host != host) {
			continue
		}
		if host == "" && p.member.Witness && r.options.Self.Witness {
			continue
		}
		if best == nil || betterTarget(p, best) {
			best = p
		}
	}
	return best
}

// betterTarget reports whether a is a better transfer target than b.
func betterTarget(a, b *progress) bool {
	if a.member.Witness != b.member.Witness {
		return !a.member.Witness
	}
	if a.member.Disk != b.member.Disk {
		return a.member.Disk
	}
	return a.match > b.match
}

// tickTransfer sends MsgTimeoutNow once the target holds the whole log. Before that, a transfer that passes its
// deadline is abandoned. After that, the leader steps down at the latest at a new deadline.
func (r *Replica) tickTransfer() {
	t := r.lead.transfer
	if t == nil {
		return
	}
	p := r.lead.find(t.target)
	switch {
	case r.lead.leaseReleased && r.now >= t.deadline:
		r.becomeFollower(Member{})
	case r.lead.leaseReleased:
	case p != nil && p.match == r.log.lastIndex():
		r.lead.leaseReleased = true
		t.deadline = r.now + r.options.Timing.ElectionMin
		r.send(Message{Kind: MsgTimeoutNow, To: p.member.Host, Term: r.hardState.Term})
	case p == nil || r.now >= t.deadline:
		r.lead.transfer = nil
	}
}

// handOffFromWitness makes a leader that is a witness try to transfer leadership to a local voter, once per
// ElectionMax.
func (r *Replica) handOffFromWitness() {
	if r.role != Leader || !r.options.Self.Witness || r.now < r.lead.nextHandoffAt || r.commit < r.lead.noopIndex {
		return
	}
	r.lead.nextHandoffAt = r.now + r.options.Timing.ElectionMax
	r.TransferLeadership(r.now, "")
}
