// Command standin plays one case of the review: it starts instances of the project with the
// command of the deploy file against stand-ins of the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(rec *recorder, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(cannotRun)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		os.Exit(cannotRun) // the instances end with this process
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption: %v", os.Args[1], trouble)
	result, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		rec.log("the case could not run: %v", err)
		result = cannotRun
	}
	rec.log("result %d", result)
	os.Exit(result)
}
