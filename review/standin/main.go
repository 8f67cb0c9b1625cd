// Command standin plays the users' platform around real balancer processes, for the cases of the review: store,
// servers, routers and clients on loopback, as PROTOCOL.md and DEPLOY.md say. It starts the balancers with the
// command of deploy/system.toml and settings filled from deploy/balancer.yaml.
//
// Its status is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	// maxLength bounds a run.
	maxLength = 110 * time.Second
	// settleTime passes between the start of the machines and that of the traffic, so that all machines are in touch.
	settleTime = 5 * time.Second
)

const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// cases are by name. Each returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, w *world) (broken bool, err error){
	"timeout": runTimeout,
	"foreign": runForeign,
	"frozen":  runFrozen,
	"expired": runExpired,
	"stale":   runStale,
	"copies":  runCopies,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	keep := flag.Bool("keep", false, "keep the folder with settings and logs")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return statusNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	if *keep {
		fmt.Println("settings and logs are in", folder)
	} else {
		defer os.RemoveAll(folder)
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer r.close()
	counts := []int{3, 2, 2}
	if *name == "copies" {
		counts = []int{4, 2, 1}
	}
	return judgeCase(ctx, play, *root, folder, r, *trouble, counts)
}

func judgeCase(ctx context.Context, play func(context.Context, *world) (bool, error), root, folder string, r *record, trouble bool, counts []int) int {
	w, err := newWorld(ctx, root, folder, r, trouble, counts)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		r.say("the case could not run: %v", err)
		return statusNotRun
	}
	sleep(ctx, settleTime)
	r.say("%d balancers are in, %d servers have entries; the disruption happens: %v", w.router.countIn(), len(w.servers), trouble)
	playing, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := w.serve(playing); err != nil {
		r.say("the case could not run: %v", err)
		return statusNotRun
	}
	broken, err := play(playing, w)
	cancel()
	switch {
	case err != nil || ctx.Err() != nil:
		r.say("the case could not run: %v %v", err, ctx.Err())
		return statusNotRun
	case broken:
		r.say("the rule was broken")
		return statusBroken
	}
	r.say("the rule held")
	return statusHeld
}
