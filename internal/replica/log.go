package replica

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Entries up to a snapshot stay in memory, so that a follower that is slightly behind does not need the snapshot: the last
// retainedEntries of them, or fewer if they take more than retainedBytes.
const (
	retainedEntries = 256
	retainedBytes   = 1 << 20
)

// sizeOf returns the size of entries in bytes.
func sizeOf(entries []Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data) + entryOverhead
	}
	return size
}

// configAt is a configuration with the index of the entry or snapshot that holds it.
type configAt struct {
	index  uint64
	config Config
}

// entryLog is the log in memory: the newest snapshot and the entries after base.
type entryLog struct {
	snapshot Snapshot
	base     uint64 // Index of the last entry that is no longer in memory. At most the snapshot's index.
	baseTerm uint64 // Term of the entry at base.
	entries  []Entry
	// configs holds the configurations of the log by ascending index. The first one is in force at the snapshot.
	configs []configAt
}

func newEntryLog(s Snapshot) *entryLog {
	return &entryLog{
		snapshot: s,
		base:     s.Index,
		baseTerm: s.Term,
		configs:  []configAt{{index: s.Index, config: s.Config}},
	}
}

func (l *entryLog) firstIndex() uint64 { return l.base + 1 }

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of the entry at an index, and false if the log no longer or not yet holds that entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.firstIndex()].Term, true
	}
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// matchesTerm reports whether the entry at the index is known to have this term.
func (l *entryLog) matchesTerm(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends with (index, term) is at least as up to date as this log. A candidate with
// such a log holds all entries that may be committed here.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// slice returns the entries in [from, to]. The result shares no capacity with the log.
func (l *entryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	lo, hi := from-l.firstIndex(), to-l.firstIndex()+1
	return l.entries[lo:hi:hi]
}

// batch returns the entries from an index on, as many as fit into limit bytes, but at least one.
func (l *entryLog) batch(from uint64, limit int) []Entry {
	size := 0
	to := from
	for i := from; i <= l.lastIndex(); i++ {
		size += len(l.entries[i-l.firstIndex()].Data) + entryOverhead
		if size > limit && i > from {
			break
		}
		to = i
	}
	return l.slice(from, to)
}

// append adds entries after the last one. The caller has checked that they follow it without a gap and that
// configurations can be decoded.
func (l *entryLog) append(entries ...Entry) {
	for _, e := range entries {
		if e.Kind == EntryConfig {
			c, err := decodeConfig(e.Data)
			if err != nil {
				panic(err)
			}
			l.configs = append(l.configs, configAt{index: e.Index, config: c})
		}
	}
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from an index on, and the configurations that they hold. It also limits the capacity of
// the slices, because messages and records share the array, and a later append must not overwrite it.
func (l *entryLog) truncate(from uint64) {
	keep := from - l.firstIndex()
	l.entries = l.entries[:keep:keep]
	n := len(l.configs)
	for n > 1 && l.configs[n-1].index >= from {
		n--
	}
	l.configs = l.configs[:n:n]
}

// config returns the newest configuration, committed or not, and its index.
func (l *entryLog) config() (Config, uint64) {
	c := l.configs[len(l.configs)-1]
	return c.config, c.index
}

// configUpTo returns the configuration in force at an index.
func (l *entryLog) configUpTo(index uint64) Config {
	c := l.configs[0].config
	for _, x := range l.configs[1:] {
		if x.index <= index {
			c = x.config
		}
	}
	return c
}

// compact replaces the entries up to a snapshot, but keeps the last of them in memory.
func (l *entryLog) compact(s Snapshot) {
	l.snapshot = s
	configs := []configAt{{index: s.Index, config: s.Config}}
	for _, c := range l.configs {
		if c.index > s.Index {
			configs = append(configs, c)
		}
	}
	l.configs = configs
	base, size := s.Index, 0
	for ; base > l.base && s.Index-base < retainedEntries; base-- {
		if size += sizeOf(l.slice(base, base)); size > retainedBytes {
			break
		}
	}
	if base == l.base {
		return
	}
	term, _ := l.term(base)
	l.entries = append([]Entry(nil), l.entries[base-l.base:]...)
	l.base = base
	l.baseTerm = term
}

// afterSnapshot returns the entries that the snapshot does not cover.
func (l *entryLog) afterSnapshot() []Entry {
	return l.slice(l.snapshot.Index+1, l.lastIndex())
}

func encodeConfig(c Config) []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic(eris.Wrap(err, "encoding a configuration"))
	}
	return data
}

func decodeConfig(data []byte) (Config, error) {
	var c Config
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Config{}, eris.Wrap(err, "decoding a configuration")
	}
	if len(c.Voters) == 0 {
		return Config{}, eris.New("a configuration has no voters")
	}
	return c, nil
}

// find returns the voter with this identity.
func (c Config) find(id memberID) (Member, bool) {
	for _, v := range c.Voters {
		if identity(v) == id {
			return v, true
		}
	}
	return Member{}, false
}

// host returns the voter on a host.
func (c Config) host(host string) (Member, bool) {
	for _, v := range c.Voters {
		if v.Host == host {
			return v, true
		}
	}
	return Member{}, false
}

func (c Config) majority() int { return len(c.Voters)/2 + 1 }

// with returns a configuration with one more voter.
func (c Config) with(m Member) Config {
	return Config{Voters: append(append([]Member(nil), c.Voters...), m)}
}

// without returns a configuration without the voter with this identity.
func (c Config) without(id memberID) Config {
	var voters []Member
	for _, v := range c.Voters {
		if identity(v) != id {
			voters = append(voters, v)
		}
	}
	return Config{Voters: voters}
}

// memberID identifies a voter or observer. Disk, Witness and Zone of a Member are not part of the identity.
type memberID struct {
	host        string
	incarnation uint64
}

func identity(m Member) memberID { return memberID{m.Host, m.Incarnation} }
