package crowd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/hosted"
	"crocusyoke/internal/standin/supervise"
)

const (
	hostedName = "n1"
	// crowdKey and ordinaryKey are the keys of two customers.
	crowdKey, ordinaryKey = "crowd-key", "ordinary-key"
	// largeItem is an item whose value has legalSize bytes.
	largeItem = "large"
	// hostedPorts are the ports of a hosted node; the one for metrics is the product's own.
	frontPort, readyPort, peerPort, metricsPort = 8465, 8460, 7560, 9100
	// askTimeout bounds one attempt of an ordinary caller.
	askTimeout = 5 * time.Second
)

// hostedFleet is what all tests of the hosted ports share: a store, a group of targets and a supervisor.
type hostedFleet struct {
	store *hosted.Store
	group *hosted.Group
	super *supervise.Supervisor
	// ip is the node's loopback address. It depends on the process ID, as other tests use the fixed metrics port too.
	ip   string
	spec supervise.Spec
	used bool
}

var fleet *hostedFleet

func (f *hostedFleet) address(port int) string { return fmt.Sprintf("%s:%d", f.ip, port) }

// startHosted returns a hosted node that has just started.
func startHosted(t *testing.T) *victim {
	return startHostedAs(t, func(s supervise.Spec) supervise.Spec { return s })
}

// startHostedAs is startHosted with a changed specification of the node's process.
func startHostedAs(t *testing.T, change func(supervise.Spec) supervise.Spec) *victim {
	if fleet == nil {
		deployHosted(t)
	}
	if fleet.used {
		must.NoError(t, fleet.super.Kill(hostedName))
	}
	must.NoError(t, fleet.super.Start(change(fleet.spec)))
	v := &victim{
		pid:       fleet.super.PID(hostedName),
		isRunning: func() bool { return fleet.super.IsRunning(hostedName) },
		ask:       func() error { return fleet.ask("BEGIN", "READ x", "COMMIT") },
	}
	must.NoError(t, v.answers())
	if !fleet.used {
		must.NoError(t, fleet.ask("WRITE "+largeItem+" "+strings.Repeat("x", legalSize)))
	}
	fleet.used = true
	return v
}

func deployHosted(t *testing.T) {
	f := &hostedFleet{store: hosted.NewStore(), group: hosted.NewGroup("ledger", "t1", "t2", "t3"), super: supervise.New()}
	fleet = f
	f.ip = fmt.Sprintf("127.%d.%d.78", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	for i, id := range []string{"t1", "t2", "t3"} {
		f.store.Put("servers", id, f.group.Entry(id, string(rune('a'+i)), "ready"))
	}
	customer := func(name, key string) map[string]any {
		return map[string]any{"name": name, "api_keys": []string{key}, "rate_per_s": 10000, "burst": 10000}
	}
	configuration, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []any{map[string]any{"name": "orders", "database": "orders", "type": "primary", "timeout_ms": 1000, "service": "ledger", "max_staleness_ms": 1500}},
		"services": []any{map[string]any{"name": "ledger", "max_conns": 34}},
		"tenants":  []any{customer("crowd", crowdKey), customer("ordinary", ordinaryKey)},
	})
	must.NoError(t, err)
	f.store.Put("op", "config", configuration)
	settings := fmt.Sprintf(`node = %q
ip = %q
zone = "a"
port_range = [%d, %d]
[listen]
front = %q
ready = %q
[limits]
max_fds = %d
[bounds]
grace_s = 6
[platform]
addr = %q
[cloud_api]
addr = %q
`, hostedName, f.ip, peerPort, peerPort, f.address(frontPort), f.address(readyPort), maxDescriptors, f.store.Address(), f.group.PromotionAddress())
	path := filepath.Join(directory, "hosted.toml")
	must.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	f.spec = supervise.Spec{
		Name: hostedName, Path: binaries.Crocusyoke, Args: []string{"serve"}, Log: filepath.Join(directory, "hosted.log"),
		Env: []string{"CROCUSYOKE_NODE_FILE=" + path},
	}
}

func stopHosted() {
	if fleet != nil {
		fleet.super.Close()
		fleet.group.Close()
		fleet.store.Close()
	}
}

// ask has an ordinary caller send statements, each once the one before was answered.
func (f *hostedFleet) ask(statements ...string) error {
	conn, err := net.DialTimeout("tcp", f.address(frontPort), askTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(askTimeout))
	in := bufio.NewReader(conn)
	for _, line := range append([]string{"STARTUP orders " + ordinaryKey}, prefixed("QUERY 1 ", statements)...) {
		if _, err := conn.Write([]byte(line + "\r\n")); err != nil {
			return err
		}
		for ready := false; !ready; {
			answer, err := in.ReadString('\n')
			if err != nil {
				return err
			}
			if strings.HasPrefix(answer, "ERROR") {
				return fmt.Errorf("%.40s: %s", line, answer)
			}
			ready = strings.HasPrefix(answer, "READY")
		}
	}
	return nil
}

func prefixed(prefix string, texts []string) (all []string) {
	for _, text := range texts {
		all = append(all, prefix+text)
	}
	return all
}

// sufferAtHosted plays a crowd of the given size against the callers' port of a hosted node.
func sufferAtHosted(t *testing.T, size int, v visit) {
	t.Helper()
	node := startHosted(t)
	node.suffer(t, crowd{size: size, from: crowdAddress, address: fleet.address(frontPort), visit: v}.start, shortStay)
}

// line returns a line of the callers' protocol.
func line(text string) []byte { return []byte(text + "\r\n") }

// hostedHello opens a session, largeWrite is a statement of legal size.
var (
	hostedHello = line("STARTUP orders " + crowdKey)
	largeWrite  = line("QUERY 1 WRITE y " + strings.Repeat("y", legalSize))
	largeRead   = line("QUERY 1 READ " + largeItem)
)

func TestHostedSilentCallers(t *testing.T) { sufferAtHosted(t, 400, reads) }

func TestHostedHalfStartup(t *testing.T) {
	sufferAtHosted(t, 400, steps(sends(hostedHello[:10]), reads))
}

func TestHostedStartupOfAByteASecond(t *testing.T) {
	sufferAtHosted(t, 400, steps(sendsInPieces(hostedHello, pieceTime), reads))
}

func TestHostedStartupWithoutAnEnd(t *testing.T) {
	sufferAtHosted(t, 180, steps(sends([]byte("STARTUP ")), sendsEndlessly(bytes.Repeat([]byte("s"), 64<<10))))
}

func TestHostedSilentSessions(t *testing.T) { sufferAtHosted(t, 400, steps(sends(hostedHello), reads)) }

func TestHostedLargeStatementsAtOnce(t *testing.T) {
	sufferAtHosted(t, 180, steps(sends(hostedHello), sendsEndlessly(largeWrite)))
}

func TestHostedLargeStatementsInPieces(t *testing.T) {
	sufferAtHosted(t, 20, steps(sends(hostedHello), sendsInPieces(largeWrite, 0), reads))
}

func TestHostedHalfLargeStatements(t *testing.T) {
	sufferAtHosted(t, 180, steps(sends(hostedHello, largeWrite[:len(largeWrite)-2]), reads))
}

func TestHostedEndlessLines(t *testing.T) {
	sufferAtHosted(t, 180, steps(sends(hostedHello, []byte("QUERY 1 WRITE y ")), sendsEndlessly(bytes.Repeat([]byte("y"), 64<<10))))
}

func TestHostedStatementsSentAhead(t *testing.T) {
	sufferAtHosted(t, 180, steps(sends(hostedHello, bytes.Repeat(line("QUERY 1 READ x"), 500)), sleeps))
}

func TestHostedLargeAnswersUnread(t *testing.T) {
	sufferAtHosted(t, 180, steps(sends(hostedHello, bytes.Repeat(largeRead, 100)), sleeps))
}

func TestHostedLargeAnswersReadSlowly(t *testing.T) {
	sufferAtHosted(t, 180, steps(sends(hostedHello, bytes.Repeat(largeRead, 100)), readsInPieces))
}

func TestHostedHalfTransactions(t *testing.T) {
	sufferAtHosted(t, 180, steps(sends(hostedHello, line("QUERY 1 BEGIN"), line("QUERY 2 WRITE y 1"), largeWrite[:100]), reads))
}

func TestHostedConnectionsOpenedAndClosed(t *testing.T) {
	sufferAtHosted(t, 150, steps())
	sufferAtHosted(t, 150, steps(sends(hostedHello, line("QUERY 1 READ x")), readsByte))
}

// TestHostedFewerDescriptorsThanCallers has descriptors for fewer callers than the settings allow.
func TestHostedFewerDescriptorsThanCallers(t *testing.T) {
	node := startHostedAs(t, func(s supervise.Spec) supervise.Spec { return withDescriptors(s, fewDescriptors) })
	node.suffer(t, crowd{size: 400, from: crowdAddress, address: fleet.address(frontPort), visit: steps(sends(hostedHello), reads)}.start, shortStay)
}

func TestHostedWrongKeys(t *testing.T) {
	sufferAtHosted(t, 150, steps(sends(line("STARTUP orders wrong-key")), reads))
}

func TestHostedUnknownDatabases(t *testing.T) {
	sufferAtHosted(t, 150, steps(sends(line("STARTUP "+strings.Repeat("n", legalSize)+" "+crowdKey)), reads))
}

// operatorsVisits are what crowds do at a port that serves HTTP.
func operatorsVisits(path string) []visit {
	request := []byte("GET " + path + " HTTP/1.1\r\nHost: node\r\n")
	return []visit{
		reads,
		steps(sends(request), reads),
		steps(sends(request), sendsEndlessly(bytes.Repeat([]byte("X: "+strings.Repeat("x", 1000)+"\r\n"), 100))),
		steps(sends(bytes.Repeat(append(bytes.Clone(request), "\r\n"...), 100)), sleeps),
		steps(sends(request, []byte("\r\n")), reads),
	}
}

// sufferOperators plays crowds against a port that serves HTTP. An operator must be answered there too.
func sufferOperators(t *testing.T, start func() *victim, address func() string, path string) {
	t.Helper()
	for _, v := range operatorsVisits(path) {
		node := start()
		caller := node.ask
		node.ask = func() error {
			client := http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Get("http://" + address() + path)
			if err != nil {
				return err
			}
			_ = response.Body.Close()
			return caller()
		}
		node.suffer(t, crowd{size: 1000, from: crowdAddress, address: address(), visit: v}.start, shortStay)
	}
}

func TestHostedMetricsPort(t *testing.T) {
	sufferOperators(t, func() *victim { return startHosted(t) }, func() string { return fleet.address(metricsPort) }, "/debug/vars")
}

func TestHostedReadinessPort(t *testing.T) {
	sufferOperators(t, func() *victim { return startHosted(t) }, func() string { return fleet.address(readyPort) }, "/api/ready")
}
