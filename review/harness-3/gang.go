package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gang is one run of the tasks of a step that work only together.
type gang struct {
	mu      sync.Mutex
	missing int       // Members that have not started yet.
	began   time.Time // When the last one started.
	over    bool      // A member has ended otherwise than done.
}

// joinGang adds a member to the gang of its step and run.
func (c *cluster) joinGang(task string, run, members int) *gang {
	key := fmt.Sprintf("%s/%d", task[:strings.LastIndex(task, ".")], run)
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.gangs[key]
	if g == nil {
		g = &gang{missing: members}
		c.gangs[key] = g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.missing--; g.missing == 0 {
		g.began = time.Now()
	}
	return g
}

func (g *gang) ended(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.over = g.over || how != "done"
}

func (g *gang) broken() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.over
}

func (g *gang) atWork() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.missing <= 0
}

// worked returns for how many milliseconds the gang has worked.
func (g *gang) worked() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.missing > 0 {
		return 0
	}
	return time.Since(g.began).Milliseconds()
}
