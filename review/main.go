// Command standin plays one case of the review: it starts nodes of the project's own
// program as processes, and stand-ins of the platform's store, of engines and of clients
// around them. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record writes what happened to record.txt, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{file: file, start: time.Now()}
}

// printf writes one line.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// since returns a time as seconds since the start.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// failure ends the case as one that could not run.
type failure struct{ error }

func must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// setup is what a case is played with.
type setup struct {
	root, dir string
	trouble   bool
	record    *record
}

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*setup) bool{
	"lost-config":  playLostConfig,
	"lost-removal": playLostRemoval,
}

// The nodes end together with the thread that started them, so main must stay on its own.
func init() { runtime.LockOSThread() }

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, from the root of the repository")
		return exitFailed
	}
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", p)
			code = exitFailed
		}
	}()
	root, err := os.Getwd()
	must(err)
	if _, err := os.Stat(filepath.Join(root, entryCommand)); err != nil {
		must(err)
	}
	dir, err := os.MkdirTemp("", "review")
	must(err)
	defer func() { _ = os.RemoveAll(dir) }()
	s := &setup{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: newRecord(os.Args[2])}
	if cases[os.Args[1]](s) {
		s.record.printf("RESULT: broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	s.record.printf("RESULT: held")
	fmt.Println("the rule held")
	return exitHeld
}
