package front

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/request"
)

func set(name, value string) Statement {
	return Statement{ID: "q", Verb: VerbSet, Name: name, Value: value}
}

func prepare(name, shape string) Statement {
	return Statement{ID: "q", Verb: VerbPrepare, Name: name, Shape: StatementTemplate{Name: shape}}
}

func execute(name string) Statement {
	return Statement{ID: "q", Verb: VerbExecute, Name: name, Arguments: "1"}
}

func deallocate(name string) Statement {
	return Statement{ID: "q", Verb: VerbDeallocate, Name: name}
}

// TestOneCallerFillsTheNode guards against one caller that fills the node's memory with settings and prepared
// statements: 400 of them are refused one by one, or the last ones for their number, and the session goes on.
func TestOneCallerFillsTheNode(t *testing.T) {
	for _, size := range []int{900_000, 1} {
		c := &fakeChain{answer: (&fakeTarget{tx: txIdle}).answer}
		var statements []Statement
		text := strings.Repeat("x", size)
		for i := range 200 {
			statements = append(statements, set(fmt.Sprint("v", i), text), prepare(fmt.Sprint("s", i), text))
		}
		answers := runSession(t, c, "k1", append(statements, read)...)
		must.Eq(t, "too_large I", answers[len(answers)-2])
		must.Eq(t, "ok I", answers[len(answers)-1])
		accepted := strings.Count(strings.Join(answers, "|"), "done I")
		must.LessEq(t, 48<<10, accepted*size)
		must.LessEq(t, 256, accepted)
	}
}

// TestRefusedEntryReplacesTheFormerOne guards against a refused SET or PREPARE that changes the session or
// fails its transaction.
func TestRefusedEntryReplacesTheFormerOne(t *testing.T) {
	var calls []*Call
	d := &fakeTarget{tx: txIdle}
	c := &fakeChain{answer: func(req *request.Request, call *Call) (*request.Response, error) {
		calls = append(calls, call)
		return d.answer(req, call)
	}}
	large := strings.Repeat("x", 100_000)
	answers := runSession(t, c, "k1", set("v", "former"), prepare("s", "shape"), begin,
		set("v", large), prepare("s", large), prepare(large, "shape"), execute("s"), commit,
		set("v", "f"), deallocate("s"), execute("s"))
	must.Eq(t, "welcome|done I|done I|ok T|too_large T|too_large T|too_large T|ok T|ok I|done I|done I|unprepared I",
		strings.Join(answers, "|"))
	must.Eq(t, []Setting{{Name: "v", Value: "former"}}, calls[1].Settings)
	must.Eq(t, "shape", calls[1].Shape.Name)
}

// TestSessionStateStaysWithinItsBounds plays random SET, PREPARE and DEALLOC of two sessions: what an account
// holds is the size of what its session keeps, a refusal changes nothing, and less is always accepted.
func TestSessionStateStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := budget.New(budget.Limits{Share: 1 << 10, Common: rapid.IntRange(0, 80<<10).Draw(t, "common")})
		sessions := []*sessionState{newSessionState(node.Account()), newSessionState(node.Account())}
		for range rapid.IntRange(1, 40).Draw(t, "statements") {
			s := rapid.SampledFrom(sessions).Draw(t, "session")
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			text := strings.Repeat("x", rapid.IntRange(0, 30<<10).Draw(t, "length"))
			st := rapid.SampledFrom([]Statement{set(name, text), prepare(name, text), deallocate(name)}).Draw(t, "statement")
			before, free := keptOf(s), 1<<10-s.account.Held()
			former, exists := before[st.Verb.String()+name]
			action, _, _ := s.plan(&st)
			if action != actionAnswer {
				must.Eq(t, before, keptOf(s))
				must.False(t, st.Verb != VerbDeallocate && exists && len(text) <= len(former))
				must.False(t, st.Verb != VerbDeallocate && entryBytes+len(name)+len(text) <= free)
			}
			must.Eq(t, sizeOf(s), s.account.Held())
			must.LessEq(t, maxStateBytes, s.account.Held())
			must.Eq(t, sessions[0].account.Held()+sessions[1].account.Held(), node.Held())
		}
		for _, s := range sessions {
			s.release()
		}
		must.Eq(t, 0, node.Held())
	})
}

// keptOf returns all that a session keeps, by verb and name.
func keptOf(s *sessionState) map[string]string {
	all := make(map[string]string)
	for _, v := range s.settings {
		all[VerbSet.String()+v.Name] = v.Value
	}
	for name, shape := range s.prepared {
		all[VerbPrepare.String()+name] = shape.Name
	}
	return all
}

// sizeOf returns the size of all that a session keeps.
func sizeOf(s *sessionState) int {
	size := 0
	for _, v := range s.settings {
		size += v.size()
	}
	for name, shape := range s.prepared {
		size += shape.size(name)
	}
	return size
}

// TestLargeSessionsLeaveNoRoomForOthers guards against large sessions that take the room of all others.
func TestLargeSessionsLeaveNoRoomForOthers(t *testing.T) {
	s := newServer(&fakeChain{}, nil)
	text, sessions := strings.Repeat("x", 40<<10), 1
	for _, size := range []int{40 << 10, 1 << 10} {
		for newSessionState(s.stateBudget.Account()).storeSetting("v", text[:size]) == nil {
			sessions++
		}
	}
	other := newSessionState(s.stateBudget.Account())
	must.Nil(t, other.storeSetting("v", text[:200]))
	must.Nil(t, other.storePrepared("s", StatementTemplate{Name: text[:200]}))
	refusal := other.storeSetting("w", text[:500])
	must.Eq(t, request.CodeOverloaded, refusal.Code)
	must.Positive(t, refusal.RetryAfter)
	must.LessEq(t, stateLimits.Common+sessions*stateLimits.Share, s.stateBudget.Held())
}

// TestEndedSessionKeepsItsRoom guards against room that is not given back when a session ends, also by a panic.
func TestEndedSessionKeepsItsRoom(t *testing.T) {
	for _, panics := range []bool{false, true} {
		var held int
		c, codec := &fakeChain{}, &scriptedCodec{startup: Startup{Service: "orders", Key: "k1"}}
		codec.statements = []Statement{set("v", "value"), prepare("s", "shape"), read}
		s := newServer(c, codec)
		c.answer = func(*request.Request, *Call) (*request.Response, error) {
			held = s.stateBudget.Held()
			if panics {
				panic("unexpected value")
			}
			return &request.Response{TxStatus: txIdle}, nil
		}
		runCodec(s)
		must.Eq(t, set("v", "value").settingSize()+StatementTemplate{Name: "shape"}.size("s"), held)
		must.Eq(t, 0, s.stateBudget.Held())
	}
}

func (st Statement) settingSize() int { return Setting{Name: st.Name, Value: st.Value}.size() }

// TestShortTextsKeepWholeMessages guards against a session, or the log's queue, that keeps the whole messages in
// which short settings, prepared statements and identifiers came.
func TestShortTextsKeepWholeMessages(t *testing.T) {
	const messages, length = 40, 1 << 20
	before := heapInUse()
	s := newServer(&fakeChain{}, nil)
	conn, other := net.Pipe()
	defer other.Close()
	sessions := make([]*session, messages)
	for i := range sessions {
		startup := fmt.Sprint("orders", i, strings.Repeat("x", length))
		codec := &scriptedCodec{startup: Startup{Service: startup[:len("orders")], Key: "k1"}}
		s.options.NewCodec = func(net.Conn) Codec { return codec }
		sessions[i] = newSession(s, conn, uint64(i))
		must.True(t, sessions[i].admit())
		codec.startup = Startup{}
		message := strings.Repeat("x", length) + fmt.Sprint("set", i)
		st := set(message[length:length+3], message[length+3:])
		st.ID = message[length : length+3]
		sessions[i].beginStatement(&st)
		sessions[i].state.plan(&st)
		sessions[i].endStatement()
		st.Verb, st.Shape.Name = VerbPrepare, st.Value
		sessions[i].state.plan(&st)
		sessions[i].logRefused(&st, unpreparedRefusal(st.Name))
	}
	must.Less(t, messages*length/4, heapInUse()-before)
	runtime.KeepAlive(sessions)
	runtime.KeepAlive(s)
}

func heapInUse() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
