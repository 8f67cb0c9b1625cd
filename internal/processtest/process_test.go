// Package processtest runs the programs as separate processes on loopback and kills,
// suspends and disconnects them. The tests check which results callers received and which
// requests back ends executed, not latency.
package processtest

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"gaugeyard/internal/cli"
	"gaugeyard/internal/edge"
	"gaugeyard/internal/soak"
	"gaugeyard/internal/standin"
	"gaugeyard/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"gaugeyard-platform": func() { os.Exit(edge.Main(os.Args[1:], os.Stdout, os.Stderr, platform.Adapt)) },
		"gaugeyard-soak":     func() { os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"gaugeyard":          func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"gaugeyard-standin":  func() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

const (
	// firstPort and portsPerScript give concurrent scripts disjoint ports, below the
	// kernel's ephemeral range.
	firstPort      = 21000
	portsPerScript = 100
	retryTimeout   = 40 * time.Second
	retryPause     = 100 * time.Millisecond
)

var scriptCount atomic.Int32

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setUp,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":  startProcess,
			"signal": signalProcess,
			"await":  awaitProcess,
			"retry":  retry,
			"noise":  noise,
			"status": exitStatus,
			"fetch":  fetch,
			"post":   post,

			"stdout_of": stdoutOf,
		},
	})
}

// addressNames are the variables that scripts use for addresses on 127.0.0.1.
var addressNames = []string{
	"STORE", "MACHINES", "RETURN", "DELIVER", "FEEDS", "RUNS", "UPLOADS",
	"DATA1", "PEER1", "ADMIN1", "DATA2", "PEER2", "ADMIN2", "DATA3", "PEER3", "ADMIN3",
	"B1", "R1", "B2", "R2", "B3", "R3", "B4", "R4",
}

const treeTemplate = `slots: 2
request_deadline: 5s
services:
  feeds:
    address: $FEEDS
    repeatable: true
    zones:
      za:
        groups:
          main:
            backends:
              b1: {address: $B1, load_address: $R1}
              b2: {address: $B2, load_address: $R2}
      zb:
        groups:
          main:
            backends:
              b3: {address: $B3, load_address: $R3}
  runs:
    address: $RUNS
    backends_from: feeds
  uploads:
    address: $UPLOADS
    zones:
      zc:
        groups:
          main:
            backends:
              b4: {address: $B4, load_address: $R4}
`

type processes map[string]*exec.Cmd

func setUp(env *testscript.Env) error {
	base := firstPort + int(scriptCount.Add(1))*portsPerScript
	addresses := map[string]string{}
	for i, name := range addressNames {
		addresses[name] = "127.0.0.1:" + strconv.Itoa(base+i)
		env.Setenv(name, addresses[name])
	}
	env.Setenv("GAUGEYARD_STORE", "http://"+addresses["STORE"])
	env.Setenv("GAUGEYARD_MACHINES", "http://"+addresses["MACHINES"])
	started := processes{}
	env.Values["processes"] = started
	env.Defer(func() {
		for _, process := range started {
			_ = process.Process.Kill()
			_ = process.Wait()
		}
	})
	tree := os.Expand(treeTemplate, func(name string) string { return addresses[name] })
	return os.WriteFile(filepath.Join(env.WorkDir, "tree.yaml"), []byte(tree), 0o600)
}

// startProcess implements "start NAME PROGRAM ARGUMENT...": it runs the program in the
// background, with standard output to NAME.out and standard error to NAME.log.
func startProcess(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	path, err := exec.LookPath(args[1])
	if found := findProgram(ts.Getenv("PATH"), args[1]); found != "" {
		path, err = found, nil
	}
	ts.Check(err)
	command := exec.Command(path, args[2:]...)
	command.Dir = ts.Getenv("WORK")
	command.Env = []string{"PATH=" + ts.Getenv("PATH"), "HOME=" + ts.Getenv("WORK")}
	out, err := os.Create(ts.MkAbs(name + ".out"))
	ts.Check(err)
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	command.Stdout, command.Stderr = out, log
	ts.Check(command.Start())
	ts.Value("processes").(processes)[name] = command
}

func findProgram(path, program string) string {
	for _, folder := range filepath.SplitList(path) {
		candidate := filepath.Join(folder, program)
		if _, err := os.Stat(candidate); err == nil {
			return candidate
		}
	}
	return ""
}

var signals = map[string]syscall.Signal{"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "HUP": syscall.SIGHUP}

// stdoutOf implements "stdout_of NAME PATTERN": the standard output of the process must
// match the pattern.
func stdoutOf(ts *testscript.TestScript, _ bool, args []string) {
	printed, err := os.ReadFile(ts.MkAbs(args[0] + ".out"))
	ts.Check(err)
	if !regexp.MustCompile(args[1]).Match(printed) {
		ts.Fatalf("standard output of %s does not match %q:\n%s", args[0], args[1], printed)
	}
}

// signalProcess implements "signal NAME KILL|TERM|STOP|CONT|HUP".
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(ts.Value("processes").(processes)[args[0]].Process.Signal(signals[args[1]]))
}

// awaitProcess implements "await NAME": the process must exit with status 0, or with another
// status if the command is negated.
func awaitProcess(ts *testscript.TestScript, negated bool, args []string) {
	started := ts.Value("processes").(processes)
	err := started[args[0]].Wait()
	delete(started, args[0])
	if (err != nil) != negated {
		log, _ := os.ReadFile(ts.MkAbs(args[0] + ".log"))
		ts.Fatalf("%s: %v\n%s", args[0], err, log)
	}
}

// retry implements "retry PATTERN PROGRAM ARGUMENT...": it runs the program until it succeeds
// and its output contains PATTERN, a plain string, for at most retryTimeout.
func retry(ts *testscript.TestScript, _ bool, args []string) {
	end := time.Now().Add(retryTimeout)
	output := ""
	for time.Now().Before(end) {
		command := exec.Command(findProgram(ts.Getenv("PATH"), args[1]), args[2:]...)
		command.Dir = ts.Getenv("WORK")
		command.Env = []string{"PATH=" + ts.Getenv("PATH"), "GAUGEYARD_STORE=" + ts.Getenv("GAUGEYARD_STORE"), "GAUGEYARD_MACHINES=" + ts.Getenv("GAUGEYARD_MACHINES")}
		printed, err := command.CombinedOutput()
		output = string(printed)
		if err == nil && strings.Count(output, args[0]) >= minOccurrences(args[0]) {
			return
		}
		time.Sleep(retryPause)
	}
	ts.Fatalf("no %q within %v; last output:\n%s", args[0], retryTimeout, output)
}

// minOccurrences returns how often a pattern must occur. All three balancers must be serving.
func minOccurrences(pattern string) int {
	if pattern == `"phase":"serving"` {
		return 3
	}
	return 1
}

// noise implements "noise ADDRESS...": it sends random datagrams of various sizes.
func noise(ts *testscript.TestScript, _ bool, args []string) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, address := range args {
		connection, err := net.Dial("udp", address)
		ts.Check(err)
		for i := range 300 {
			datagram := make([]byte, random.IntN(40)+i%3*500)
			for at := range datagram {
				datagram[at] = byte(random.Uint32())
			}
			_, _ = connection.Write(datagram)
		}
		ts.Check(connection.Close())
	}
}

// exitStatus implements "status N PROGRAM ARGUMENT...": the exit status must be N.
func exitStatus(ts *testscript.TestScript, _ bool, args []string) {
	wanted, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if got != wanted {
		ts.Fatalf("exit status %d, want %d", got, wanted)
	}
}

// fetch implements "fetch URL PATTERN": the body at URL must match the pattern.
func fetch(ts *testscript.TestScript, _ bool, args []string) {
	reply, err := http.Get(args[0])
	ts.Check(err)
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	ts.Check(err)
	if !regexp.MustCompile(args[1]).Match(body) {
		ts.Fatalf("body of %s does not match %q:\n%s", args[0], args[1], body)
	}
}

// post implements "post URL BODY". It does not check the response status.
func post(ts *testscript.TestScript, _ bool, args []string) {
	reply, err := http.Post(args[0], "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	ts.Check(reply.Body.Close())
}
