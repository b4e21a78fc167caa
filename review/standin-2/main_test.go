//go:build review

// Package main is a program in test files, so that TestBoundary does not take the names of the
// platform in it for code of the product. It runs one case of the second review: it serves a
// store, workers and a machine API on loopback addresses, starts the programs of the deploy file
// as processes against them, acts as client and operator, and checks one rule.
//
// Usage: standin-2 CASE RECORD. CASE is a name of the table cases, RECORD the file to which
// it writes what was sent, answered and run. TROUBLE=0 leaves the disruption out. The exit
// status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"
)

// caseTimeout ends a case that hangs, with the start of its processes; a script may run for 120 s.
const caseTimeout = 110 * time.Second

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// testCase is a case: the machines of the system at its start, and what it does.
type testCase struct {
	machines []machine
	run      func(*deployment) error
}

var cases = map[string]testCase{}

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	expectedArgs = 3
)

// TestMain runs the case that the arguments name, or else the tests.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) == expectedArgs && cases[os.Args[1]].run != nil:
		os.Exit(run())
	case len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-test."):
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(m.Run())
}

func run() int {
	deadline := time.After(caseTimeout)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	d, err := newDeployment(record, os.Getenv("TROUBLE") != "0", cases[os.Args[1]].machines)
	if err != nil {
		record.linef("could not run: %v", err)
		return exitNotRun
	}
	defer d.close()
	outcome := make(chan error, 1)
	go func() { outcome <- cases[os.Args[1]].run(d) }()
	select {
	case err = <-outcome:
	case <-deadline:
		err = errors.New("the case did not end in time")
	case got := <-signals:
		err = fmt.Errorf("ended by %v", got)
	}
	switch {
	case err == nil:
		record.linef("RESULT: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		record.linef("RESULT: %v", err)
		return exitBroken
	default:
		record.linef("RESULT: could not run: %v", err)
		return exitNotRun
	}
}
