package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errBroken reports a broken rule.
var errBroken = errors.New("rule broken")

// cases are the cases by name. With trouble, a case has its disruption.
var cases = map[string]func(rec *record, trouble bool) error{
	"owners":  playOwners,
	"cancel":  playCancel,
	"lasting": playLasting,
	"large":   playLarge,
	"gang":    playGang,
	// Further faults, which are no cases.
	"below": playBelow,
	"gone":  playGone,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	err = cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitNotRun
	}
	rec.add("result", "exit %d: %v", code, err)
	rec.close()
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}
