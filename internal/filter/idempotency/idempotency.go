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
	// MaxOutcomeBytes is the longest answer that a record holds, in bytes. For a longer answer
	// the record holds only the command tag.
	MaxOutcomeBytes = 64 << 10
	// sqlStateUniqueViolation is the SQLSTATE for inserting a key that already exists.
	sqlStateUniqueViolation = "23505"
	// txIdle is the transaction status outside any transaction.
	txIdle = 'I'
	// transactionFingerprint is the fingerprint of every transaction, whatever its statements.
	transactionFingerprint = "transaction"
)

// Prefixes that tell the form of a recorded outcome: a base64-encoded answer or a command tag.
const (
	prefixAnswer = "w"
	prefixTag    = "t"
)

// Result is the answer to a write.
type Result struct {
	Reply target.Reply
	// Repeated is true if Reply is the recorded answer of an earlier request.
	Repeated bool
}

// Execute runs a write that has an idempotency key and is outside any transaction. sent is false
// if nothing was written to conn. If sent is true and err is not a *request.Refusal, the outcome
// is unknown. After a Refusal other than CodeOutcomeUnknown, conn is idle and can be reused;
// after any other error the state of conn is unknown.
func Execute(ctx context.Context, conn target.Conn, req *request.Request) (result Result, sent bool, err error) {
	exec := execution{ctx: ctx, conn: conn, req: req, fingerprint: fingerprint(req.Messages)}
	reply, sent, err := exec.insertRecord(statement{sql: "BEGIN"})
	if err != nil {
		return Result{}, sent, err
	}
	switch {
	case reply.Code == sqlStateUniqueViolation:
		result, err = exec.replay()
	case reply.Code != "":
		result.Reply, err = exec.rollback(errorReply(reply))
	default:
		result.Reply, err = exec.runFirst()
	}
	return result, true, err
}

// ExecuteBegin opens a transaction that has an idempotency key. If the key has been used before,
// it fails with CodeAlreadyRun. The rules for sent and err are those of Execute.
func ExecuteBegin(ctx context.Context, conn target.Conn, req *request.Request) (result Result, sent bool, err error) {
	exec := execution{ctx: ctx, conn: conn, req: req, fingerprint: transactionFingerprint}
	begun, sent, err := conn.Exchange(ctx, req.Messages)
	if err != nil {
		return Result{}, sent, err
	}
	if begun.Code != "" || begun.TxStatus == txIdle {
		return Result{Reply: begun}, true, nil
	}
	begun.Messages = append([]byte(nil), begun.Messages...)
	recorded, _, err := exec.insertRecord()
	if err != nil {
		return Result{}, true, outcomeUnknown(err)
	}
	if recorded.Code == "" {
		begun.Position = recorded.Position
		return Result{Reply: begun}, true, nil
	}
	refused, err := exec.rollback(errorReply(recorded))
	if err == nil && recorded.Code == sqlStateUniqueViolation {
		err = request.Refuse(request.CodeAlreadyRun, step, "",
			"a transaction with idempotency key %q has run before", req.IdempotencyKey)
	}
	return Result{Reply: refused}, true, err
}

// execution is the state of one write while it is executed.
type execution struct {
	ctx         context.Context
	conn        target.Conn
	req         *request.Request
	fingerprint string
}

// insertRecord executes the given statements and then inserts the key's record. The returned
// bool is false if nothing was written to the connection.
func (r *execution) insertRecord(before ...statement) (target.Reply, bool, error) {
	insert := statement{sqlInsert, []string{r.req.Customer, r.req.IdempotencyKey, r.fingerprint, ""}}
	messages, err := encodeBatch(append(before, insert)...)
	if err != nil {
		return target.Reply{}, false, request.Refuse(request.CodeProtocol, step, "", "cannot encode the idempotency record").WithCause(err)
	}
	return r.conn.Exchange(r.ctx, messages)
}

// runFirst executes the caller's exchange within the open transaction and commits it.
func (r *execution) runFirst() (target.Reply, error) {
	reply, _, err := r.conn.Exchange(r.ctx, r.req.Messages)
	if err != nil {
		return target.Reply{}, outcomeUnknown(err)
	}
	if reply.Code != "" {
		return r.rollback(withIdleStatus(reply))
	}
	if reply.TxStatus != 'T' {
		return target.Reply{}, outcomeUnknown(fmt.Errorf("the statement ended its transaction"))
	}
	return r.commit(withIdleStatus(reply))
}

// commit stores the answer in the key's record and commits.
func (r *execution) commit(answer target.Reply) (target.Reply, error) {
	update := statement{sqlUpdate, []string{encodeOutcome(answer.Messages), r.req.Customer, r.req.IdempotencyKey}}
	messages, err := encodeBatch(update, statement{sql: "COMMIT"})
	if err != nil {
		return target.Reply{}, outcomeUnknown(err)
	}
	reply, _, err := r.conn.Exchange(r.ctx, messages)
	if err != nil {
		return target.Reply{}, outcomeUnknown(err)
	}
	if reply.Code != "" {
		refused := errorReply(reply)
		if reply.TxStatus == txIdle {
			return refused, nil
		}
		return r.rollback(refused)
	}
	if reply.TxStatus != txIdle || lastCommandTag(reply.Messages) != "COMMIT" {
		return target.Reply{}, outcomeUnknown(fmt.Errorf("the target did not confirm the commit"))
	}
	answer.Position = reply.Position
	return answer, nil
}

// rollback rolls back the transaction and returns answer, with the position of the rollback's
// reply.
func (r *execution) rollback(answer target.Reply) (target.Reply, error) {
	reply, _, err := r.conn.Exchange(r.ctx, encodeQuery("ROLLBACK"))
	if err != nil {
		return target.Reply{}, outcomeUnknown(err)
	}
	if reply.TxStatus != txIdle {
		return target.Reply{}, outcomeUnknown(fmt.Errorf("the target did not roll back"))
	}
	answer.Position = reply.Position
	return answer, nil
}

// replay answers from the record of an earlier request with the same key.
func (r *execution) replay() (Result, error) {
	find := statement{sqlSelect, []string{r.req.Customer, r.req.IdempotencyKey}}
	messages, err := encodeBatch(statement{sql: "ROLLBACK"}, find)
	if err != nil {
		return Result{}, outcomeUnknown(err)
	}
	reply, _, err := r.conn.Exchange(r.ctx, messages)
	if err != nil {
		return Result{}, outcomeUnknown(err)
	}
	if reply.Code != "" || reply.TxStatus != txIdle {
		return Result{}, outcomeUnknown(fmt.Errorf("cannot read the idempotency record: SQLSTATE %s", reply.Code))
	}
	row := firstRow(reply.Messages)
	if len(row) != 2 {
		return Result{}, request.Refuse(request.CodeOverloaded, step, "", "an earlier request with the same idempotency key has just been rolled back")
	}
	return r.replyFromRecord(string(row[0]), string(row[1]), reply)
}

// replyFromRecord returns the recorded answer if the record is of the same request.
func (r *execution) replyFromRecord(recordedFingerprint, outcome string, reply target.Reply) (Result, error) {
	if recordedFingerprint == transactionFingerprint || recordedFingerprint != r.fingerprint {
		return Result{}, request.Refuse(request.CodeKeyReused, step, "",
			"idempotency key %q was used for another request", r.req.IdempotencyKey)
	}
	if tag, ok := strings.CutPrefix(outcome, prefixTag); ok {
		return Result{}, request.Refuse(request.CodeAlreadyRun, step, "",
			"this request has run before (%s); its answer was too long to record", tag)
	}
	coded, ok := strings.CutPrefix(outcome, prefixAnswer)
	answer, err := base64.StdEncoding.DecodeString(coded)
	if !ok || err != nil || len(answer) == 0 {
		return Result{}, request.Refuse(request.CodeAlreadyRun, step, "",
			"this request has run before; its record holds no answer")
	}
	reply.Messages = answer
	return Result{Reply: reply, Repeated: true}, nil
}

// encodeOutcome returns the form in which an answer is recorded.
func encodeOutcome(answer []byte) string {
	if len(answer) > MaxOutcomeBytes {
		return prefixTag + lastCommandTag(answer)
	}
	return prefixAnswer + base64.StdEncoding.EncodeToString(answer)
}

func fingerprint(messages []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(messages))
}

func outcomeUnknown(cause error) error {
	return request.Refuse(request.CodeOutcomeUnknown, step, "", "the connection failed while the request ran").WithCause(cause)
}
