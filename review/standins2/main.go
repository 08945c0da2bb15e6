// The command standins2 plays the cases of the second review that cannot be put as a day: it
// starts the system's processes and stand-ins of clients, engines and the platform.
//
//	standins2 CASE FOLDER
//
// It writes record.txt to the folder. The exit code is 0 if the rule held, 1 if it was broken, and
// 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by their numbers.
var cases = map[string]func(env *environment) (int, error){
	"4": answersOfNobody,
	"5": drainAfterClockStep,
	"6": sameEngineCrashes,
	"8": allNodesForget,
}

// environment is what a case works with.
type environment struct {
	// trouble is false if the case runs without its disruption.
	trouble bool
	// dir is a temporary folder.
	dir    string
	record *record
	// nodes are the processes to be stopped at the end.
	nodes []*node
}

func main() { os.Exit(run()) }

// run plays a case and returns the exit code.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER")
		return failed
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs are kept in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	env := &environment{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: rec}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		code, err := cases[os.Args[1]](env)
		if err != nil {
			rec.add("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			code = failed
		}
		result <- code
	}()
	code := failed
	select {
	case code = <-result:
	case <-interrupted:
	}
	stopNodes(env.nodes)
	rec.add("exit code %d", code)
	return code
}
