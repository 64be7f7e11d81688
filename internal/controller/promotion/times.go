package promotion

import "time"

// Timeouts and intervals of the promotion decisions.
const (
	// SuspectTimeout is how long the primary may leave polls unanswered before peers are queried.
	SuspectTimeout = 700 * time.Millisecond
	// SuspectMissedPolls is the number of consecutive failed polls after which a target counts as
	// unreachable. For the primary, the suspect timeout must have passed as well.
	SuspectMissedPolls = 2
	// HeldSuspectTimeout replaces SuspectTimeout with Options.HeldTerms. It can be shorter because peers
	// are queried from the first missed poll on.
	HeldSuspectTimeout = 300 * time.Millisecond
	// DeclinedTimeout is how long a target may decline polls before they count as failed. The platform frees the
	// connections of VMs that are gone within this time.
	DeclinedTimeout = 4 * time.Second
	// PeerQueryInterval is the minimum interval between two rounds of queries to peers.
	PeerQueryInterval = 300 * time.Millisecond
	// PeerAnswerTTL is the maximum age of a peer's answer that counts.
	PeerAnswerTTL = 1500 * time.Millisecond
	// ReplicaLinkTimeout is the time without a message from the primary after which a replica
	// counts as disconnected. A reachable primary counts as isolated when so many replicas are
	// disconnected that no write can be confirmed.
	ReplicaLinkTimeout = 1500 * time.Millisecond
	// NoPrimaryTimeout is how long a group may have no primary in its highest term before a new
	// term is started. A group whose primary is in a lower term than another target counts as
	// having none.
	NoPrimaryTimeout = 1500 * time.Millisecond
	// AdoptTimeout is the maximum wait for a majority to adopt a term.
	AdoptTimeout = 1500 * time.Millisecond
	// AnnounceTimeout is the maximum wait until the row of the promotion lease names the term. The
	// wait starts when a majority has adopted the term.
	AnnounceTimeout = 1500 * time.Millisecond
	// CatchUpTimeout is the maximum wait for a replica to catch up with a fenced primary that hands over.
	CatchUpTimeout = 2 * time.Second
	// PromoteTimeout is the maximum wait for the result of a Promote command. HeldPromoteTimeout replaces
	// it with Options.HeldTerms, where a promotion takes effect some time after the command.
	PromoteTimeout     = 1500 * time.Millisecond
	HeldPromoteTimeout = 5 * time.Second
	// BackoffMin and BackoffMax bound the random backoff after an abandoned attempt.
	BackoffMin = 200 * time.Millisecond
	BackoffMax = 900 * time.Millisecond
	// HeldMinPromoteDelay is the minimum time between a Promote command and its effect with
	// Options.HeldTerms.
	HeldMinPromoteDelay = 200 * time.Millisecond
	// HeldMaxPromoteDelay is the assumed maximum time between a Promote command and its effect with
	// Options.HeldTerms. Holds are kept until then, also if the answer was lost: a command without an
	// answer may be carried out seconds later.
	HeldMaxPromoteDelay = 8 * time.Second
	// FollowRetryInterval is the minimum interval between two Follow commands to one target.
	FollowRetryInterval = 500 * time.Millisecond
)
