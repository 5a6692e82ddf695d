package replica

// Bounds of the numbers in messages. A log that has counted its way up does not reach them; a message beyond them comes from
// no member, and a number that overflows would make a replica forget its vote.
const (
	maxTermStep = 1 << 32 // From the term of this replica to that of a message. An election raises the term by one.
	maxIndex    = 1 << 62
)

// plausible reports whether a message can come from a member of the group.
func (r *Replica) plausible(m Message) bool {
	if m.Term > r.hardState.Term && m.Term-r.hardState.Term > maxTermStep {
		return false
	}
	switch m.Kind {
	case MsgAppend:
		return checkEntries(m)
	case MsgSnapshot:
		s := m.Snapshot
		return s != nil && s.Index <= maxIndex && s.Term <= m.Term && len(s.Config.Voters) > 0
	}
	return true
}

// checkEntries reports whether the entries of a message follow its index without a gap, have terms that its sender can have
// written, and hold configurations that can be decoded.
func checkEntries(m Message) bool {
	if m.Index > maxIndex {
		return false
	}
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return false
		}
		term = e.Term
		if e.Kind != EntryConfig {
			continue
		}
		if _, err := decodeConfig(e.Data); err != nil {
			return false
		}
	}
	return true
}
