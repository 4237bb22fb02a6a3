package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// runTimeout bounds a script.
const runTimeout = 110 * time.Second

// names holds what the pages name.
type names struct {
	Host     string
	Report   string
	Picked   string
	Order    string
	Resolve  string
	Attempt  string
	Deadline string
	Expect   string
	Seal     string
	NotRun   string
	Fault    string
	Prefix   string
	Counts   string
	Model    string
	Seen     string
	Config   map[string]any
	// Plain is a configuration with a plain service.
	Plain map[string]any
	// Server holds the fields that all servers have alike in the store.
	Server map[string]any
}

// rig is one run of a script.
type rig struct {
	names   names
	program string
	dir     string
	trouble bool
	begin   time.Time
	mutex   sync.Mutex
	record  *os.File
	stops   []func()
}

// plays holds the scripts by name.
var plays = map[string]func(ctx context.Context, r *rig) (broken bool, err error){
	"maps":    playMaps,
	"crashes": playCrashes,
	"flaps":   playFlaps,
	"forged":  playForged,
}

func main() { os.Exit(run()) }

// run plays the script named by the first argument. The second one is the folder of the case.
func run() (code int) {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCRIPT FOLDER")
		return exitFailed
	}
	broken, err := play(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}

func play(script, folder string) (broken bool, err error) {
	r := &rig{program: "target", trouble: os.Getenv("TROUBLE") != "0", begin: time.Now()}
	text, err := os.ReadFile(filepath.Join("review", "rig", "names.json"))
	if err != nil {
		return false, err
	}
	if err := json.Unmarshal(text, &r.names); err != nil {
		return false, err
	}
	if r.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return false, err
	}
	defer r.record.Close()
	if r.dir, err = os.MkdirTemp("", "rig"); err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { err = errors.CombineErrors(err, os.RemoveAll(r.dir)) }()
	} else {
		fmt.Println(r.dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	defer r.stop()
	broken, err = plays[script](ctx, r)
	r.log("broken: %v, error: %v", broken, err)
	return broken, err
}

// log writes a line to the record.
func (r *rig) log(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// An error shows when the record is closed.
	_, _ = fmt.Fprintf(r.record, "%7.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, values...)...)
}

// onStop has a function be called when the script ends.
func (r *rig) onStop(stop func()) { r.stops = append(r.stops, stop) }

// stop ends all that the script started, the latest first.
func (r *rig) stop() {
	for i := len(r.stops) - 1; i >= 0; i-- {
		r.stops[i]()
	}
}
