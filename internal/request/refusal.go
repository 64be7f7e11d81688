package request

import (
	"errors"
	"fmt"
	"time"
)

// Fate says whether a refused request may have taken effect.
type Fate uint8

// Fates of a refused request.
const (
	// NotRun means that nothing of the request took effect.
	NotRun Fate = iota
	// Unknown means that the request may or may not have taken effect.
	Unknown
)

// String returns the text that callers see.
func (f Fate) String() string {
	if f == NotRun {
		return "not run"
	}
	return "outcome unknown"
}

// Code is one row of the table of refusal codes.
type Code struct {
	// SQLState is the SQLSTATE that the caller's driver receives.
	SQLState string
	// Name identifies the code in counters, logs and error details.
	Name string
	Fate Fate
	// Retryable reports whether the same request may be sent again, to the same or another target.
	Retryable bool
}

// Refusal codes. A code with Fate NotRun is used only if nothing reached a target, or if the
// target itself reported that nothing ran.
var (
	CodeBadKey           = Code{"28P01", "bad_key", NotRun, false}
	CodeForbidden        = Code{"42501", "forbidden", NotRun, false}
	CodeUnknownService   = Code{"3D000", "unknown_service", NotRun, false}
	CodeUnknownProfile   = Code{"22023", "unknown_profile", NotRun, false}
	CodeInvalidParameter = Code{"22023", "invalid_parameter", NotRun, false}
	CodeBadToken         = Code{"22023", "bad_token", NotRun, false}
	CodeProtocol         = Code{"08P01", "protocol", NotRun, false}
	CodeUnsupported      = Code{"0A000", "unsupported", NotRun, false}
	CodeTooLarge         = Code{"54000", "too_large", NotRun, false}
	CodeOverRate         = Code{"53400", "over_rate", NotRun, false}
	CodeOverloaded       = Code{"53300", "overloaded", NotRun, true}
	CodeTimeout          = Code{"57014", "timeout", NotRun, false}
	CodeNoTarget         = Code{"57P03", "no_target", NotRun, true}
	CodeNoOwner          = Code{"08001", "no_owner", NotRun, true}
	CodeShutdown         = Code{"57P01", "shutdown", NotRun, true}
	CodeStaleConfig      = Code{"57P05", "stale_config", NotRun, true}
	CodeKeyReused        = Code{"22000", "idempotency_key_reused", NotRun, false}
	CodeAlreadyRun       = Code{"23505", "already_run", NotRun, false}
	CodeTransactionLost  = Code{"40001", "transaction_lost", NotRun, false}
	CodeReplicaWrite     = Code{"25006", "read_only_target", NotRun, true}
	CodeUnprepared       = Code{"26000", "unprepared", NotRun, false}
	CodeOutsideHome      = Code{"57P06", "outside_home", NotRun, false}
	CodeOutcomeUnknown   = Code{"08007", "outcome_unknown", Unknown, false}
)

// Codes lists all refusal codes, for documentation and tests.
var Codes = []Code{
	CodeBadKey, CodeForbidden, CodeUnknownService, CodeUnknownProfile, CodeInvalidParameter,
	CodeBadToken, CodeProtocol, CodeUnsupported, CodeTooLarge, CodeOverRate, CodeOverloaded,
	CodeTimeout, CodeNoTarget, CodeNoOwner, CodeShutdown, CodeStaleConfig, CodeKeyReused,
	CodeAlreadyRun, CodeTransactionLost, CodeReplicaWrite, CodeUnprepared, CodeOutsideHome,
	CodeOutcomeUnknown,
}

// Refusal is the error of a request that has no answer from a target.
type Refusal struct {
	Code Code
	// Step is the processing step that refused the request, such as "limit" or "acknowledge".
	Step string
	// Peer is the node or target where the cause arose; empty if it is this node.
	Peer string
	// Detail is a message for humans.
	Detail string
	// RetryAfter is how long the caller should wait before it sends the request again; 0 if
	// unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// Refuse returns a Refusal with a formatted Detail.
func Refuse(code Code, step, peer, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Step: step, Peer: peer, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets RetryAfter on r and returns r.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// WithCause sets Cause on r and returns r.
func (r *Refusal) WithCause(err error) *Refusal {
	r.Cause = err
	return r
}

// WithPriorAttempts returns the refusal to report after several attempts. mayHaveRun says
// whether an earlier attempt may have run. If so, the result has Fate Unknown even if r has Fate
// NotRun, because r describes only the last attempt.
func (r *Refusal) WithPriorAttempts(mayHaveRun bool) *Refusal {
	if !mayHaveRun || r.Code.Fate == Unknown {
		return r
	}
	return Refuse(CodeOutcomeUnknown, r.Step, r.Peer, "an earlier attempt may have run").WithRetryAfter(r.RetryAfter).WithCause(r)
}

// Error implements error. The text has the code, fate, detail, step, peer and cause.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("%s (%s): %s", r.Code.Name, r.Code.Fate, r.Detail)
	text += " [step " + r.Step
	if r.Peer != "" {
		text += ", peer " + r.Peer
	}
	text += "]"
	if r.Cause != nil {
		text += ": " + r.Cause.Error()
	}
	return text
}

func (r *Refusal) Unwrap() error { return r.Cause }

// AsRefusal returns the Refusal in err's chain. Any other error becomes CodeOutcomeUnknown,
// because nothing is known about the request's effect.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Refuse(CodeOutcomeUnknown, "internal", "", "unexpected error").WithCause(err)
}
