package promotion

// Action is a command for the caller to carry out.
type Action interface{ action() }

// QueryPeers asks peers, preferably in other failure domains, whether they reach a target. Each
// reply is passed to Group.ObservePeerAnswer.
type QueryPeers struct{ Target string }

// Announce writes into the row of the promotion lease (see LeaseState) that a Promote
// command for Term may be sent. It is used only with Options.HeldTerms. Its result is passed to
// Group.HandleAnnounceResult.
type Announce struct{ Term uint64 }

// Adopt tells a target to adopt a term, that is, to refuse log entries and commits of lower terms.
// Its result is passed to Group.HandleAdoptResult.
type Adopt struct {
	Target string
	Term   uint64
}

// Promote tells a target to become the primary of a term. Its result is passed to
// Group.HandlePromoteResult.
type Promote struct {
	Target string
	Term   uint64
}

// Follow tells a target to replicate from the primary at Address. It has no result: the next
// poll of the target shows its effect.
type Follow struct {
	Target  string
	Address string
	Term    uint64
}

// RecordPromotion stores a completed promotion in the platform's table.
type RecordPromotion struct {
	Term    uint64
	Primary string
	Reason  Reason
}

// Reason states why a promotion was attempted. It is stored with the promotion.
type Reason string

// Reasons for a promotion.
const (
	reasonNone Reason = ""
	// ReasonNoPrimary means that no target is primary in the highest term.
	ReasonNoPrimary Reason = "no primary in the highest term"
	// ReasonUnreachable means that nodes in several failure domains cannot reach the primary.
	ReasonUnreachable Reason = "primary unreachable"
	// ReasonIsolated means that this node reaches the primary, but too many of the primary's
	// replicas do not (see ReplicaLinkTimeout).
	ReasonIsolated Reason = "primary cut off from its group"
	// ReasonLeaving means that the primary's target is leaving the group.
	ReasonLeaving Reason = "primary is leaving"
	// ReasonEvacuated means that the failure domain of the primary is evacuated.
	ReasonEvacuated Reason = "primary's failure domain is evacuated"
)

// isHandover reports whether the primary is replaced while it works, so that it is fenced first.
func (r Reason) isHandover() bool { return r == ReasonLeaving || r == ReasonEvacuated }

func (QueryPeers) action()      {}
func (Announce) action()        {}
func (Adopt) action()           {}
func (Promote) action()         {}
func (Follow) action()          {}
func (RecordPromotion) action() {}
