package daemon

import (
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Daemon")
}

// fakeCore keeps the inputs except ticks, and returns the outputs that the function answer gives.
type fakeCore struct {
	mu       sync.Mutex
	seen     []node.Input
	answer   func(in node.Input) []node.Output
	settings node.Settings // The settings that NewCore was given.
}

func (c *fakeCore) Handle(_ time.Duration, in node.Input) []node.Output {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, isTick := in.(node.Tick); !isTick {
		c.seen = append(c.seen, in)
	}
	if c.answer == nil {
		return nil
	}
	return c.answer(in)
}

func (c *fakeCore) Ready() (bool, string) { return true, "" }

func (c *fakeCore) MetricValues() []MetricValue {
	return []MetricValue{{Name: "jobs_queued", Value: 7, Group: "z1"}}
}

func (c *fakeCore) inputs() []node.Input {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]node.Input(nil), c.seen...)
}

// fakeStore keeps writes in memory. Append waits for block if it is not nil, and returns an error if fail is set.
type fakeStore struct {
	mu          sync.Mutex
	state       StoredState
	writes      [][]replica.Record
	replaced    int
	size        int64
	block       chan struct{}
	fail        bool
	failed      bool
	afterFailed int // Calls of Append after a failed one.
	closed      bool
}

var errSync = errors.New("sync: input/output error")

func (s *fakeStore) WriteIdentity(n uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Incarnation = n
	return nil
}

func (s *fakeStore) Append(r []replica.Record) error {
	if s.block != nil {
		<-s.block
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		s.afterFailed++
	}
	if s.fail {
		s.failed = true
		return errSync
	}
	s.writes = append(s.writes, r)
	return nil
}

func (s *fakeStore) Replace([]replica.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced++
	return nil
}

func (s *fakeStore) Size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size
}

func (s *fakeStore) setSize(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size = n
}

func (s *fakeStore) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return nil
}

func (s *fakeStore) appended() [][]replica.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]replica.Record(nil), s.writes...)
}

// fakeParts returns Parts for Main with a fake core and a fake store.
func fakeParts(c *fakeCore, s *fakeStore) Parts {
	return Parts{
		OpenStore: func(string) (Store, *StoredState, error) { state := s.state; return s, &state, nil },
		NewCore: func(n node.Settings, _ map[replica.GroupID]*replica.Restored, _ time.Duration) Core {
			c.settings = n
			return c
		},
	}
}
