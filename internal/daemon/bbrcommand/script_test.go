package bbrcommand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellridge/bluebellridge/internal/operator/bbrclient"
	"github.com/bluebellridge/bluebellridge/internal/standin/bbrprogram"
)

const (
	// scriptPorts is the number of free ports that a script gets, in the variables
	// P1, P2 and so on.
	scriptPorts = 20
	// scriptTimeout bounds how long a script waits for a condition or an HTTP
	// response. It is long, so that no test depends on the machine's speed.
	scriptTimeout = 30 * time.Second
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bluebellridged": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"bluebellridge": func() {
			os.Exit(bbrclient.Main(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
		},
		"bbrstandin": func() { os.Exit(bbrprogram.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"send":       func() { os.Exit(send(os.Args[1:])) },
	})
}

// send makes an HTTP request: send METHOD ADDRESS/PATH [HEADER=VALUE]... [@BODY].
func send(args []string) int {
	var body io.Reader
	header := make(http.Header)
	for _, arg := range args[2:] {
		if text, ok := strings.CutPrefix(arg, "@"); ok {
			body = strings.NewReader(text)
			continue
		}
		name, value, _ := strings.Cut(arg, "=")
		header.Set(name, value)
	}
	request, err := http.NewRequest(args[0], "http://"+args[1], body)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	request.Header = header
	request.Host = header.Get("Host")
	response, err := (&http.Client{Timeout: scriptTimeout}).Do(request)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	fmt.Println("status", response.StatusCode)
	for _, name := range []string{"Bbr-Outcome", "Bbr-Code", "Retry-After", "Bbr-Upstream"} {
		fmt.Println(name, response.Header.Get(name))
	}
	fmt.Printf("%s\n", data)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// programs contains the background processes of one script, by name.
type programs map[string]*exec.Cmd

func (p programs) stopAll() {
	for _, program := range p {
		_ = program.Process.Signal(syscall.SIGCONT)
		_ = program.Process.Kill()
		_ = program.Wait()
	}
}

// start runs a program in the background: start NAME PROGRAM [ARG]...
func (p programs) start(ts *testscript.TestScript, _ bool, args []string) {
	path, err := exec.LookPath(args[1])
	ts.Check(err)
	program := exec.Command(path, args[2:]...)
	program.Dir = ts.Getenv("WORK")
	program.Env = append(os.Environ(), "HOME="+ts.Getenv("WORK"))
	log, err := os.Create(ts.MkAbs(args[0] + ".log"))
	ts.Check(err)
	program.Stdout, program.Stderr = log, log
	ts.Check(program.Start())
	p[args[0]] = program
}

// signal sends a signal to a program: signal NAME KILL|TERM|STOP|CONT. After
// KILL and TERM it waits until the program has ended.
func (p programs) signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	ts.Check(p[args[0]].Process.Signal(signals[args[1]]))
	if args[1] == "KILL" || args[1] == "TERM" {
		_ = p[args[0]].Wait()
		delete(p, args[0])
	}
}

// eventually runs a program repeatedly until its output matches a pattern:
// eventually PATTERN PROGRAM [ARG]...
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	deadline := time.Now().Add(scriptTimeout)
	for {
		program := exec.Command(args[1], args[2:]...)
		program.Dir = ts.Getenv("WORK")
		program.Env = append(os.Environ(), "BLUEBELLRIDGE_TOKEN="+ts.Getenv("BLUEBELLRIDGE_TOKEN"), "BLUEBELLRIDGE_ENTRY="+ts.Getenv("BLUEBELLRIDGE_ENTRY"))
		output, _ := program.CombinedOutput()
		if pattern.Match(output) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("output of %s did not match %s; last output:\n%s", strings.Join(args[1:], " "), args[0], output)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// expand replaces $NAME in files by the value of the variable: expand FILE...
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}

const settingsTemplate = `entry: NAME
zone: ZONE
listen: {callers: "127.0.0.1:CALLERS", operators: "127.0.0.1:OPERATORS", peers: "127.0.0.1:PEERS"}
platform: {address: "127.0.0.1:PLATFORM", timeout: 1s}
operators: {token: script-token-not-secret}
peers: ["127.0.0.1:SEED"]
shutdown: {balancerLag: 200ms, grace: 20s}
`

// writeSettings writes the settings of an entry: settings NAME ZONE CALLERS OPERATORS PEERS SEED.
func writeSettings(ts *testscript.TestScript, _ bool, args []string) {
	replacer := strings.NewReplacer("NAME", args[0], "ZONE", args[1], "CALLERS", args[2], "OPERATORS", args[3], "PEERS", args[4],
		"SEED", args[5], "PLATFORM", ts.Getenv("P1"))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]+".yaml"), []byte(replacer.Replace(settingsTemplate)), 0o644))
}

// nextPort is the last port given to a script. It starts below the ephemeral port
// range, as outgoing connections would otherwise occupy ports of the scripts.
var nextPort atomic.Int32

func init() { nextPort.Store(12_000) }

// freePorts returns ports on which nothing listens, each only once per process.
func freePorts(count int) []string {
	var ports []string
	for len(ports) < count {
		port := strconv.Itoa(int(nextPort.Add(1)))
		listener, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err != nil {
			continue
		}
		_ = listener.Close()
		ports = append(ports, port)
	}
	return ports
}

// TestScripts runs the scripts in testdata/script, which start real processes on
// loopback addresses.
func TestScripts(t *testing.T) {
	var running sync.Map
	programsOf := func(ts *testscript.TestScript) programs {
		p, _ := running.Load(ts.Getenv("WORK"))
		return p.(programs)
	}
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			for i, port := range freePorts(scriptPorts) {
				env.Setenv(fmt.Sprintf("P%d", i+1), port)
			}
			env.Setenv("BLUEBELLRIDGE_TOKEN", "script-token-not-secret")
			p := make(programs)
			running.Store(env.WorkDir, p)
			env.Defer(p.stopAll)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":      func(ts *testscript.TestScript, neg bool, args []string) { programsOf(ts).start(ts, neg, args) },
			"signal":     func(ts *testscript.TestScript, neg bool, args []string) { programsOf(ts).signal(ts, neg, args) },
			"eventually": eventually,
			"expand":     expand,
			"settings":   writeSettings,
		},
	})
}
