package idempotency

import (
	"context"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

const (
	step = "idempotency"
	// MaxOutcome is the most bytes of an answer that a record keeps; of a longer answer
	// it keeps the command tag only.
	MaxOutcome = 64 << 10
	// stateUnique is the SQLSTATE of a key that exists.
	stateUnique = "23505"
	// idle is the transaction status outside any transaction.
	idle = 'I'
	// beginFingerprint stands for all of a transaction's statements.
	beginFingerprint = "transaction"
)

// Forms of a recorded outcome, by its first character.
const (
	formAnswer = "w"
	formTag    = "t"
)

// Result is the answer to a write.
type Result struct {
	Reply target.Reply
	// Repeated is true if Reply is the recorded answer of an earlier request.
	Repeated bool
}

// Execute runs a write that has an idempotency key and is in no transaction. sent is
// false if nothing was written to conn. An error that is no *request.Refusal leaves the
// outcome unknown, if sent. After a Refusal that is not CodeOutcomeUnknown conn is idle
// and may be used on; after any other error it is in doubt.
func Execute(ctx context.Context, conn target.Conn, req *request.Request) (result Result, sent bool, err error) {
	run := run{ctx: ctx, conn: conn, req: req, fingerprint: fingerprint(req.Messages)}
	reply, sent, err := run.record(statement{sql: "BEGIN"})
	if err != nil {
		return Result{}, sent, err
	}
	switch {
	case reply.Code == stateUnique:
		result, err = run.repeat()
	case reply.Code != "":
		result.Reply, err = run.rollback(onlyError(reply))
	default:
		result.Reply, err = run.first()
	}
	return result, true, err
}

// ExecuteBegin opens a transaction that has an idempotency key. A repeat is refused with
// CodeAlreadyRun. The rules for sent and err are those of Execute.
func ExecuteBegin(ctx context.Context, conn target.Conn, req *request.Request) (result Result, sent bool, err error) {
	run := run{ctx: ctx, conn: conn, req: req, fingerprint: beginFingerprint}
	begun, sent, err := conn.Exchange(ctx, req.Messages)
	if err != nil {
		return Result{}, sent, err
	}
	if begun.Code != "" || begun.TxStatus == idle {
		return Result{Reply: begun}, true, nil
	}
	begun.Messages = append([]byte(nil), begun.Messages...)
	recorded, _, err := run.record()
	if err != nil {
		return Result{}, true, unknown(err)
	}
	if recorded.Code == "" {
		begun.Position = recorded.Position
		return Result{Reply: begun}, true, nil
	}
	refused, err := run.rollback(onlyError(recorded))
	if err == nil && recorded.Code == stateUnique {
		err = request.Refuse(request.CodeAlreadyRun, step, "",
			"a transaction with idempotency key %q has run before", req.IdempotencyKey)
	}
	return Result{Reply: refused}, true, err
}

// run is one write on its way.
type run struct {
	ctx         context.Context
	conn        target.Conn
	req         *request.Request
	fingerprint string
}

// record inserts the key's record after the given statements.
func (r *run) record(before ...statement) (target.Reply, bool, error) {
	insert := statement{sqlInsert, []string{r.req.Customer, r.req.IdempotencyKey, r.fingerprint, ""}}
	messages, err := batch(append(before, insert)...)
	if err != nil {
		return target.Reply{}, false, request.Refuse(request.CodeProtocol, step, "", "cannot encode the record").Because(err)
	}
	return r.conn.Exchange(r.ctx, messages)
}

// first runs the caller's exchange within the open transaction and commits it.
func (r *run) first() (target.Reply, error) {
	reply, _, err := r.conn.Exchange(r.ctx, r.req.Messages)
	if err != nil {
		return target.Reply{}, unknown(err)
	}
	if reply.Code != "" {
		return r.rollback(outside(reply))
	}
	if reply.TxStatus != 'T' {
		return target.Reply{}, unknown(fmt.Errorf("the statement ended its transaction"))
	}
	return r.commit(outside(reply))
}

// commit records the answer and commits.
func (r *run) commit(answer target.Reply) (target.Reply, error) {
	update := statement{sqlUpdate, []string{outcome(answer.Messages), r.req.Customer, r.req.IdempotencyKey}}
	messages, err := batch(update, statement{sql: "COMMIT"})
	if err != nil {
		return target.Reply{}, unknown(err)
	}
	reply, _, err := r.conn.Exchange(r.ctx, messages)
	if err != nil {
		return target.Reply{}, unknown(err)
	}
	if reply.Code != "" {
		refused := onlyError(reply)
		if reply.TxStatus == idle {
			return refused, nil
		}
		return r.rollback(refused)
	}
	if reply.TxStatus != idle || lastTag(reply.Messages) != "COMMIT" {
		return target.Reply{}, unknown(fmt.Errorf("the target did not confirm the commit"))
	}
	answer.Position = reply.Position
	return answer, nil
}

// rollback ends the transaction and returns answer.
func (r *run) rollback(answer target.Reply) (target.Reply, error) {
	reply, _, err := r.conn.Exchange(r.ctx, query("ROLLBACK"))
	if err != nil {
		return target.Reply{}, unknown(err)
	}
	if reply.TxStatus != idle {
		return target.Reply{}, unknown(fmt.Errorf("the target did not roll back"))
	}
	answer.Position = reply.Position
	return answer, nil
}

// repeat answers from the record of an earlier request with the same key.
func (r *run) repeat() (Result, error) {
	find := statement{sqlSelect, []string{r.req.Customer, r.req.IdempotencyKey}}
	messages, err := batch(statement{sql: "ROLLBACK"}, find)
	if err != nil {
		return Result{}, unknown(err)
	}
	reply, _, err := r.conn.Exchange(r.ctx, messages)
	if err != nil {
		return Result{}, unknown(err)
	}
	if reply.Code != "" || reply.TxStatus != idle {
		return Result{}, unknown(fmt.Errorf("the record cannot be read: %s", reply.Code))
	}
	row := firstRow(reply.Messages)
	if len(row) != 2 {
		return Result{}, request.Refuse(request.CodeOverloaded, step, "", "a request with the same key has just been rolled back")
	}
	return r.answer(string(row[0]), string(row[1]), reply)
}

// answer turns a record into an answer.
func (r *run) answer(recorded, outcome string, reply target.Reply) (Result, error) {
	if recorded == beginFingerprint || recorded != r.fingerprint {
		return Result{}, request.Refuse(request.CodeKeyReused, step, "",
			"idempotency key %q was used for another request", r.req.IdempotencyKey)
	}
	if tag, ok := strings.CutPrefix(outcome, formTag); ok {
		return Result{}, request.Refuse(request.CodeAlreadyRun, step, "",
			"this request has run before (%s); its answer was too long to record", tag)
	}
	coded, ok := strings.CutPrefix(outcome, formAnswer)
	answer, err := base64.StdEncoding.DecodeString(coded)
	if !ok || err != nil || len(answer) == 0 {
		return Result{}, request.Refuse(request.CodeAlreadyRun, step, "",
			"this request has run before; its record holds no answer")
	}
	reply.Messages = answer
	return Result{Reply: reply, Repeated: true}, nil
}

// outcome is the form in which an answer is recorded.
func outcome(answer []byte) string {
	if len(answer) > MaxOutcome {
		return formTag + lastTag(answer)
	}
	return formAnswer + base64.StdEncoding.EncodeToString(answer)
}

func fingerprint(messages []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(messages))
}

func unknown(cause error) error {
	return request.Refuse(request.CodeOutcomeUnknown, step, "", "the connection failed while the request ran").Because(cause)
}
