// Command harness-2 runs the cases of a review: the project's programs as processes on loopback addresses, with stand-ins
// for workers, clients and the operator.
//
// Its arguments are the name of a case and the folder for record.txt. It exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case could not run. With TROUBLE=0 in the environment, it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit bounds the time of a case.
const caseLimit = 110 * time.Second

// scenario is a case: it returns what broke the rule, or an empty text.
type scenario struct {
	workers int
	run     func(ctx context.Context, c *cluster, trouble bool) (string, error)
}

var scenarios = map[string]scenario{
	"gang":      {14, gangFailsAtOnce},
	"lasting":   {4, lastingFailAtOnce},
	"waiting":   {7, unhealthyWorker},
	"sweeps":    {6, sweeps},
	"stale":     {9, staleEvacuation},
	"abandoned": {6, abandoned},
	"withheld":  {10, withheld},
	"services":  {8, services},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: harness-2 CASE FOLDER")
		os.Exit(exitFailed)
	}
	s, known := scenarios[os.Args[1]]
	if !known {
		fmt.Println("no such case:", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(execute(s, os.Args[2]))
}

func execute(s scenario, folder string) int {
	r, err := newRecord(folder)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer r.close()
	temporary, err := os.MkdirTemp("", "harness-2-")
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temporary)
	} else {
		fmt.Println("logs:", temporary)
	}
	c := &cluster{record: r, folder: temporary, entries: 2}
	if err := c.pickBlock(s.workers); err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer c.stop()
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := s.run(ctx, c, trouble)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitFailed
	case broken != "":
		r.say("BROKEN %s", broken)
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}
