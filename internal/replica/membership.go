package replica

import "time"

// Conditions on a member before it is added as a voter or becomes the target of a leadership transfer.
const (
	caughtUpEntries = 64                      // Entries that it may still lack.
	recentContact   = 2500 * time.Millisecond // An idle observer answers once a second, see followPeriod.
)

// syncProgress adapts the progress list to the voters of the newest configuration.
func (r *Replica) syncProgress() {
	config, _ := r.log.config()
	for _, v := range config.Voters {
		id := identity(v)
		if id == identity(r.options.Self) {
			continue
		}
		p := r.lead.find(id)
		if p == nil {
			p = newProgress(v, r.log.lastIndex()+1)
			r.lead.progress = append(r.lead.progress, p)
		}
		p.voter = true
		p.member = v
	}
	r.filterProgress(func(p *progress) bool {
		_, ok := config.find(identity(p.member))
		return ok || !p.voter
	})
}

// dropSilentObservers removes the progress of observers that no longer ask for the log.
func (r *Replica) dropSilentObservers() {
	r.filterProgress(func(p *progress) bool {
		return p.voter || r.now-p.followedAt < observerTimeout
	})
}

// filterProgress removes the progress for which keep returns false.
func (r *Replica) filterProgress(keep func(*progress) bool) {
	var kept []*progress
	for _, p := range r.lead.progress {
		if keep(p) {
			kept = append(kept, p)
		}
	}
	r.lead.progress = kept
}

// answeredWithin reports whether a member answered a round that started within the last d. A late reply names an old
// round and does not count as contact.
func (r *Replica) answeredWithin(p *progress, d time.Duration) bool {
	at, ok := r.lead.roundTime(p.round)
	return ok && r.now-at <= d
}

// caughtUp reports whether a member is in contact, is known to match the leader's log so far, and lacks at most
// caughtUpEntries entries, none of them from before this term.
func (r *Replica) caughtUp(p *progress) bool {
	near := p.match+caughtUpEntries >= r.log.lastIndex() && p.match >= r.lead.noopIndex
	return near && !p.probing && r.answeredWithin(p, recentContact)
}

// reconfigure makes the next change of the configuration towards the desired voters. It does nothing before the
// previous change and an entry of this term are committed, and during a leadership transfer. It adds hosts with a disk
// first, and removes undesired hosts last.
func (r *Replica) reconfigure() {
	config, at := r.log.config()
	if r.commit < r.lead.noopIndex || at > r.commit || r.lead.transfer != nil || len(r.options.DesiredVoters) == 0 {
		return
	}
	for _, disk := range []bool{true, false} {
		for _, d := range r.options.DesiredVoters {
			if d.Disk == disk && r.addDesired(config, d) {
				return
			}
		}
	}
	r.removeUndesired(config)
}

// addDesired adds a caught-up observer on a desired host as a voter. If an older incarnation of this host is still a
// voter, it removes that one first, once it is silent. It returns whether it changed the configuration.
func (r *Replica) addDesired(config Config, desired Member) bool {
	if desired.Host == r.options.Self.Host {
		return false
	}
	p := r.caughtUpObserver(desired.Host)
	if p == nil {
		return false
	}
	old, present := config.host(desired.Host)
	if present {
		return r.silent(identity(old)) && r.changeConfig(config.without(identity(old)))
	}
	m := p.member
	m.Witness = desired.Witness
	return disklessStayMinority(config, m) && r.changeConfig(config.with(m))
}

// disklessStayMinority reports whether voters without a disk are still a minority after a voter is added. They never
// come back as the same incarnation, so that the loss of all of them must leave a quorum.
func disklessStayMinority(config Config, added Member) bool {
	if added.Disk {
		return true
	}
	diskless := 1
	for _, v := range config.Voters {
		if !v.Disk {
			diskless++
		}
	}
	return 2*diskless < len(config.Voters)+1
}

// caughtUpObserver returns a caught-up observer on a host, nil if there is none.
func (r *Replica) caughtUpObserver(host string) *progress {
	for _, p := range r.lead.progress {
		if !p.voter && p.member.Host == host && r.caughtUp(p) {
			return p
		}
	}
	return nil
}

// silent reports whether a voter has not answered for the shortest election timeout. A late message of an older
// incarnation must not cause the removal of a voter that is alive.
func (r *Replica) silent(id memberID) bool {
	p := r.lead.find(id)
	return p == nil || !r.answeredWithin(p, r.options.Timing.ElectionMin)
}

// removeUndesired removes a voter whose host is no longer desired, once all desired hosts are voters. A leader that is
// to be removed transfers leadership first.
func (r *Replica) removeUndesired(config Config) {
	for _, d := range r.options.DesiredVoters {
		if _, ok := config.host(d.Host); !ok {
			return
		}
	}
	for _, v := range config.Voters {
		if isDesired(r.options.DesiredVoters, v.Host) {
			continue
		}
		if identity(v) == identity(r.options.Self) {
			r.TransferLeadership(r.now, "")
			return
		}
		if r.changeConfig(config.without(identity(v))) {
			return
		}
	}
}

func isDesired(desired []Member, host string) bool {
	for _, d := range desired {
		if d.Host == host {
			return true
		}
	}
	return false
}

// changeConfig appends a configuration if a majority of its voters is in contact, among them one with a disk if it has
// any. Otherwise the change could leave the group without a quorum. It returns whether it appended the configuration.
func (r *Replica) changeConfig(config Config) bool {
	active := 0
	disks, activeDisks := 0, 0
	for _, v := range config.Voters {
		p := r.lead.find(identity(v))
		contact := identity(v) == identity(r.options.Self) || (p != nil && r.answeredWithin(p, recentContact))
		if contact {
			active++
		}
		if v.Disk {
			disks++
		}
		if v.Disk && contact {
			activeDisks++
		}
	}
	if active < config.majority() || (disks > 0 && activeDisks == 0) {
		return false
	}
	r.appendAsLeader(EntryConfig, encodeConfig(config))
	r.syncProgress()
	return true
}
