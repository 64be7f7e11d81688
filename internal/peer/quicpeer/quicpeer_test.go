package quicpeer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/request"
)

// stubOwner answers each request with the request's own messages, unless a field says
// otherwise.
type stubOwner struct {
	mu            sync.Mutex
	ended         []string
	refuse        error
	block         chan struct{}
	wrongSequence bool
	// arrived, if not nil, receives a value for each request.
	arrived chan struct{}
}

// answerTimes is the Times of every answer of stubOwner.
var answerTimes = request.Times{AtOwner: 3 * time.Second, AtTarget: 20 * time.Millisecond, Exchanges: 2}

func (o *stubOwner) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	if o.arrived != nil {
		o.arrived <- struct{}{}
	}
	if o.block != nil {
		select {
		case <-o.block:
		case <-ctx.Done():
			return nil, request.Refuse(request.CodeTimeout, "owner", "", "canceled")
		}
	}
	if o.refuse != nil {
		return nil, o.refuse
	}
	id := req.ID
	if o.wrongSequence {
		id.Sequence++
	}
	return &request.Response{ID: id, Messages: req.Messages, TxStatus: 'I', Times: answerTimes}, nil
}

func (o *stubOwner) End(session string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, session)
}

func (o *stubOwner) endedSessions() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ended)
}

func listenUDP(t testing.TB) net.PacketConn {
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	must.NoError(t, err)
	return packets
}

// startServer starts a server that passes requests to o, and returns its address. prepare is
// called with the server before it serves.
func startServer(t testing.TB, a *authority, o request.Handler, prepare ...func(*Server)) (string, *Server) {
	packets := listenUDP(t)
	s := NewServer("b", a.config("b", RoleNode), clock.Wall{}, o)
	s.Handle(peer.KindProbe, false, func(_ context.Context, from string, _ []byte) (any, error) { return from, nil })
	s.Handle(peer.KindStatus, true, func(_ context.Context, from string, _ []byte) (any, error) { return from, nil })
	for _, f := range prepare {
		f(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, packets) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return packets.LocalAddr().String(), s
}

func newTestClient(t testing.TB, a *authority, name, role string) *Client {
	c := NewClient(a.config(name, role), listenUDP(t), clock.Wall{}, nil)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func newRequest(session string, sequence uint64, body string) *request.Request {
	return &request.Request{
		ID:       request.ID{Session: session, Sequence: sequence},
		Deadline: time.Now().Add(10 * time.Second),
		Messages: []byte(body),
	}
}

func TestSessionsReceiveTheirOwnAnswers(t *testing.T) {
	a := newAuthority(t)
	o := &stubOwner{}
	address, _ := startServer(t, a, o)
	c := newTestClient(t, a, "a", RoleNode)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			session := fmt.Sprintf("s%d", i)
			h := c.Open(address)
			for n := range uint64(20) {
				body := fmt.Sprintf("%s/%d", session, n)
				resp, err := h.Serve(context.Background(), newRequest(session, n+1, body))
				must.NoError(t, err)
				must.Eq(t, body, string(resp.Messages))
				must.Eq(t, answerTimes, resp.Times)
			}
			h.End(session)
		})
	}
	wg.Wait()
	deadline := time.Now().Add(10 * time.Second)
	for o.endedSessions() < 20 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 20, o.endedSessions())
}

func TestRefusalKeepsCodeStepPeerAndCause(t *testing.T) {
	a := newAuthority(t)
	o := &stubOwner{refuse: request.Refuse(request.CodeNoTarget, "choose", "t1", "down").WithCause(errors.New("cause"))}
	address, _ := startServer(t, a, o)
	_, err := newTestClient(t, a, "a", RoleNode).Open(address).Serve(context.Background(), newRequest("s", 1, "x"))
	r := request.AsRefusal(err)
	must.Eq(t, request.CodeNoTarget, r.Code)
	must.Eq(t, "choose", r.Step)
	must.Eq(t, "t1", r.Peer)
	must.ErrorContains(t, r, "cause")
}

func TestAnswerToAnotherRequestIsNotTaken(t *testing.T) {
	a := newAuthority(t)
	address, _ := startServer(t, a, &stubOwner{wrongSequence: true})
	_, err := newTestClient(t, a, "a", RoleNode).Open(address).Serve(context.Background(), newRequest("s", 1, "x"))
	must.ErrorContains(t, err, "no answer from the owner")
	must.Eq(t, request.CodeOutcomeUnknown, request.AsRefusal(err).Code)
}

func TestCancelReachesTheOwner(t *testing.T) {
	a := newAuthority(t)
	o := &stubOwner{block: make(chan struct{}), arrived: make(chan struct{}, 2)}
	address, _ := startServer(t, a, o)
	h := newTestClient(t, a, "a", RoleNode).Open(address)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-o.arrived
		cancel()
	}()
	_, err := h.Serve(ctx, newRequest("s", 1, "x"))
	must.Eq(t, request.CodeTimeout, request.AsRefusal(err).Code)
	close(o.block)
	resp, err := h.Serve(context.Background(), newRequest("s", 2, "y"))
	must.NoError(t, err)
	must.Eq(t, "y", string(resp.Messages))
}

// slowOwner records the order of events. It ignores the cancellation of its first request and
// answers it once release is closed.
type slowOwner struct {
	mu      sync.Mutex
	events  []string
	release chan struct{}
	// arrived is closed when the first request arrives.
	arrived chan struct{}
}

func (l *slowOwner) record(event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, event)
}

func (l *slowOwner) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	l.record("serve " + string(req.Messages))
	if req.ID.Sequence == 1 {
		close(l.arrived)
		<-l.release
	}
	l.record("served " + string(req.Messages))
	return &request.Response{ID: req.ID, Messages: req.Messages, TxStatus: 'I'}, nil
}

func (l *slowOwner) End(string) { l.record("end") }

func TestNewStreamWaitsForTheEndOfTheSessionsOldOne(t *testing.T) {
	a := newAuthority(t)
	o := &slowOwner{release: make(chan struct{}), arrived: make(chan struct{})}
	address, _ := startServer(t, a, o)
	h := newTestClient(t, a, "a", RoleNode).Open(address)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-o.arrived
		cancel()
	}()
	_, err := h.Serve(ctx, newRequest("s", 1, "x"))
	must.Eq(t, request.CodeOutcomeUnknown, request.AsRefusal(err).Code)
	time.AfterFunc(50*time.Millisecond, func() { close(o.release) })
	_, err = h.Serve(context.Background(), newRequest("s", 2, "y"))
	must.NoError(t, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	must.Eq(t, []string{"serve x", "served x", "end", "serve y", "served y"}, o.events)
}

func TestUnreachableOwnerIsNotRun(t *testing.T) {
	a := newAuthority(t)
	packets := listenUDP(t)
	defer packets.Close()
	_, err := newTestClient(t, a, "a", RoleNode).Open(packets.LocalAddr().String()).Serve(context.Background(), newRequest("s", 1, "x"))
	must.Eq(t, request.CodeNoOwner, request.AsRefusal(err).Code)
}

func TestCertificatesDecideWhoMayCall(t *testing.T) {
	a := newAuthority(t)
	address, _ := startServer(t, a, &stubOwner{})
	ctx := context.Background()
	var from string
	must.NoError(t, newTestClient(t, a, "a", RoleNode).Call(ctx, address, peer.KindProbe, 1, &from))
	must.Eq(t, "a", from)
	operator := newTestClient(t, a, "op", RoleOperator)
	must.NoError(t, operator.Call(ctx, address, peer.KindStatus, 1, &from))
	must.Eq(t, "op", from)
	must.ErrorContains(t, operator.Call(ctx, address, peer.KindProbe, 1, &from), "forbidden")
	must.Error(t, newTestClient(t, newAuthority(t), "a", RoleNode).Call(ctx, address, peer.KindProbe, 1, &from))
	_, err := operator.Open(address).Serve(ctx, newRequest("s", 1, "x"))
	must.Error(t, err)
}

func TestClosedConnectionIsReplaced(t *testing.T) {
	a := newAuthority(t)
	address, _ := startServer(t, a, &stubOwner{})
	c := newTestClient(t, a, "a", RoleNode)
	h := c.Open(address)
	_, err := h.Serve(context.Background(), newRequest("s", 1, "x"))
	must.NoError(t, err)
	conn, err := c.connect(context.Background(), linkKey{address, useSessions})
	must.NoError(t, err)
	must.NoError(t, conn.CloseWithError(1, "lost track"))
	<-conn.Context().Done()
	_, err = h.Serve(context.Background(), newRequest("s", 2, "y"))
	must.NoError(t, err)
}

func TestFrameOverTheLimitIsRefusedBeforeItIsRead(t *testing.T) {
	var frame answerFrame
	huge := []byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3}
	must.ErrorContains(t, newFrameReader(bytes.NewReader(huge)).read(&frame), "over the limit")
}

func FuzzFrame(f *testing.F) {
	var valid bytes.Buffer
	first := newRequest("s", 1, "x")
	frame, context := newRequestFrame(first), newSessionContext(first)
	frame.Context = &context
	must.NoError(f, writeFrame(&valid, &frame))
	f.Add(valid.Bytes())
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame requestFrame
		if newFrameReader(bytes.NewReader(data)).read(&frame) != nil {
			return
		}
		_, err := cbor.Marshal(&frame)
		must.NoError(t, err)
	})
}

func BenchmarkSession(b *testing.B) {
	a := newAuthority(b)
	address, _ := startServer(b, a, &stubOwner{})
	c := newTestClient(b, a, "a", RoleNode)
	b.SetParallelism(10)
	b.ReportAllocs()
	var mu sync.Mutex
	next := 0
	b.RunParallel(func(pb *testing.PB) {
		mu.Lock()
		next++
		session := fmt.Sprintf("s%d", next)
		mu.Unlock()
		h := c.Open(address)
		body := string(make([]byte, 200))
		for n := uint64(1); pb.Next(); n++ {
			if _, err := h.Serve(context.Background(), newRequest(session, n, body)); err != nil {
				b.Error(err)
			}
		}
	})
}
