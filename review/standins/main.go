// Command standins plays the script cases of the review: it starts nodes of the system as separate
// processes, between stand-ins for consumers, backends and the platform.
//
// Usage: standins CASE FOLDER. It writes FOLDER/record.txt and exits with 1 if the rule was broken,
// 0 if it held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that takes too long.
const maxRunTime = 110 * time.Second

// playFunc plays a case. It returns whether the rule was broken, and how.
type playFunc func(d *deployment, trouble bool) (broken bool, how string, err error)

var cases = map[string]playFunc{
	"route-put-back": playRoutePutBack,
	"stalled-log":    playStalledLog,
	"other-entries":  playEntries,
	"sync-lost":      playSyncLost,
	"dark-primary":   playDarkPrimary,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		return exitNotRun
	}
	rec, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	d, err := newDeployment(rec, dir)
	if err != nil {
		rec.log("could not run: %v", err)
		return exitNotRun
	}
	defer d.stopAll()
	giveUp := func(why string) {
		rec.log("could not run: %s", why)
		d.stopAll()
		os.Exit(exitNotRun)
	}
	timer := time.AfterFunc(maxRunTime, func() { giveUp("took too long") })
	defer timer.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { giveUp((<-signals).String()) }()
	broken, how, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		rec.log("BROKEN: %s", how)
		fmt.Println("broken:", how)
		return exitBroken
	default:
		rec.log("HELD: %s", how)
		fmt.Println("held:", how)
		return exitHeld
	}
}
