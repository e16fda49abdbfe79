//go:build review2

// Command standin2 runs the cases of the second independent review: the system as separate
// processes, with stand-ins of the store, the workers, the operator and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the cases by name.
var cases = map[string]func(*env) (int, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, record string) int {
	f := cases[name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	log, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer log.f.Close()
	binary, err := filepath.Abs("target/gentianpick")
	if err != nil {
		return notRun
	}
	e := &env{dir: dir, binary: binary, log: log, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		if e.c != nil {
			e.c.close()
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		if e.c != nil {
			e.c.close()
		}
		os.Exit(notRun)
	}()
	status, err := f(e)
	if err != nil {
		log.event("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	log.event("exit status %d", status)
	return status
}

// env is what a case needs.
type env struct {
	dir, binary string
	log         *recorder
	trouble     bool
	c           *cluster
}

// cluster starts the system with its stand-ins.
func (e *env) cluster(instances, workers int) error {
	c, err := newCluster(e.dir, e.binary, instances, workers, e.log)
	e.c = c
	if err != nil {
		return err
	}
	return c.startAll()
}
