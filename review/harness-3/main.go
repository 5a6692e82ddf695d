// Command cases plays the cases of the third review against the programs of the deploy file, as real processes on loopback
// addresses. Workers, clients, the operator and the platform are stand-ins.
package main

import (
	"errors"
	"flag"
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
	exitNotRun = 2
)

// errBroken marks that the rule was broken.
var errBroken = errors.New("the rule is broken")

// timeLimit is how long a case may take.
const timeLimit = 110 * time.Second

// cases are the cases by name. Each plays its disruption only if trouble is set.
var cases = map[string]func(c *cluster, trouble bool) error{
	"foreign-report":   foreignReport,
	"guaranteed-job":   guaranteedJob,
	"lasting-task":     lastingTask,
	"other-urgent":     otherUrgent,
	"upkeep-of-killed": upkeepOfKilled,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case")
	program := flag.String("program", "target/mustardwalkd", "the program of the system")
	path := flag.String("record", "record.txt", "where the record is written")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Println("there is no such case")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record := newRecorder()
	record.note("case %s, disruption %v", *name, trouble)
	c, err := newCluster(record, *program)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer c.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- c.play(run, trouble) }()
	select {
	case err = <-result:
	case <-signals:
		err = errors.New("ended by a signal")
	case <-time.After(timeLimit):
		err = errors.New("not finished in time")
	}
	code := exitNotRun
	switch {
	case err == nil:
		code = exitHeld
		record.note("result: the rule held")
	case errors.Is(err, errBroken):
		code = exitBroken
		record.note("result: %v", err)
	default:
		record.note("result: the case could not run: %v", err)
	}
	if err := record.write(*path); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	fmt.Printf("%s: exit code %d: %v\n", *name, code, err)
	return code
}

// play starts the deployment and plays a case in it.
func (c *cluster) play(run func(c *cluster, trouble bool) error, trouble bool) error {
	if err := c.start(); err != nil {
		return err
	}
	if err := c.configure(); err != nil {
		return err
	}
	if err := run(c, trouble); err != nil {
		return err
	}
	if name := c.unexpectedEnd(); name != "" {
		return fmt.Errorf("%s has ended by itself", name)
	}
	return nil
}
