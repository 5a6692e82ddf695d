package replica

// Apply applies one record to the state of the group. Records must be applied in the order in which Take returned them.
// Applying a record again, or one that a record of Replica.FullRecord already covers, changes nothing. Apply must not
// be called on a Restored that was copied, because the copy shares its entries.
func (x *Restored) Apply(rec Record) {
	if rec.HardState != nil {
		x.HardState = *rec.HardState
	}
	if rec.Snapshot != nil {
		x.applySnapshot(rec.Snapshot)
	}
	if len(rec.Entries) > 0 {
		x.applyEntries(rec.Entries)
	}
}

// LastIndex returns the index of the last entry, or of the snapshot if no entries follow it. It is 0 for an empty log.
func (x *Restored) LastIndex() uint64 {
	if n := len(x.Entries); n > 0 {
		return x.Entries[n-1].Index
	}
	return x.snapshotIndex()
}

func (x *Restored) snapshotIndex() uint64 {
	if x.Snapshot == nil {
		return 0
	}
	return x.Snapshot.Index
}

// applySnapshot replaces the snapshot by a newer one. It keeps the entries after the snapshot only if the log held the
// entry at its index with the same term. Otherwise these entries conflict with the leader's log, which replaced them.
func (x *Restored) applySnapshot(s *Snapshot) {
	if x.Snapshot != nil && s.Index <= x.Snapshot.Index {
		return
	}
	kept := []Entry(nil)
	i := x.position(s.Index)
	if i < len(x.Entries) && x.Entries[i].Index == s.Index && x.Entries[i].Term == s.Term {
		kept = append(kept, x.Entries[i+1:]...)
	}
	x.Snapshot = s
	x.Entries = kept
}

// applyEntries replaces the stored entries from the first new one on. It skips new entries that the snapshot covers.
func (x *Restored) applyEntries(entries []Entry) {
	after := x.snapshotIndex()
	for len(entries) > 0 && entries[0].Index <= after {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	keep := x.position(entries[0].Index)
	if keep < len(x.Entries) {
		x.Entries = x.Entries[:keep:keep]
	}
	x.Entries = append(x.Entries, entries...)
}

// position returns the number of stored entries before an index. It computes the number, because the entries are
// contiguous: a scan for each record would make the time of a restart quadratic in the length of the log.
func (x *Restored) position(index uint64) int {
	if len(x.Entries) == 0 || index <= x.Entries[0].Index {
		return 0
	}
	return int(min(index-x.Entries[0].Index, uint64(len(x.Entries))))
}

// empty reports whether no record of the group was ever applied.
func (x *Restored) empty() bool {
	return x == nil || (x.HardState == HardState{} && x.Snapshot == nil && len(x.Entries) == 0)
}
