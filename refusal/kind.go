package refusal

// Kind is the reason for a refusal, as it stands in answers and counters.
type Kind string

// The kinds. The table in answer.go has a row for each.
const (
	// None marks an answer, not a refusal.
	None Kind = ""
	// Malformed is a request that cannot be decoded or breaks a bound.
	Malformed Kind = "malformed"
	// TooLarge is a request or reply over its size limit.
	TooLarge Kind = "too_large"
	// HeaderTooLarge is a request whose header is over its size limit.
	HeaderTooLarge Kind = "header_too_large"
	// TooSlow is a request whose body did not arrive while its caller waited.
	TooSlow Kind = "too_slow"
	// UnknownService is a service that the catalogue does not list.
	UnknownService Kind = "unknown_service"
	// UnknownOwner is an owner that the catalogue does not list.
	UnknownOwner Kind = "unknown_owner"
	// ClassDenied is a class that the owner may not use.
	ClassDenied Kind = "class_denied"
	// RateLimited is a request over its owner's limits.
	RateLimited Kind = "rate_limited"
	// Overloaded is a request that finds queues or tables full.
	Overloaded Kind = "overloaded"
	// Deadline is a request whose time ended.
	Deadline Kind = "deadline"
	// Cancelled is a request whose caller left.
	Cancelled Kind = "cancelled"
	// NoSearcher means that no usable searcher serves the shard.
	NoSearcher Kind = "no_searcher"
	// Cold means that only searchers in a cold start are left and all are at their limit.
	Cold Kind = "cold"
	// SnapshotGone means that the shard no longer holds the snapshot.
	SnapshotGone Kind = "snapshot_gone"
	// NoSnapshot means that no snapshot can be answered.
	NoSnapshot Kind = "no_snapshot"
	// BadReply is a reply that cannot be decoded or carries the wrong labels.
	BadReply Kind = "bad_reply"
	// SearcherFailed is an error answer or a broken connection of a searcher.
	SearcherFailed Kind = "searcher_failed"
	// HomeUnreachable means that neither the home nor an acting home answered.
	HomeUnreachable Kind = "home_unreachable"
	// NotHome means that the daemon holds no home lease for the group.
	NotHome Kind = "not_home"
	// Poisoned is a request whose equals crashed searchers.
	Poisoned Kind = "poisoned"
	// WrongIncarnation is a non-idempotent request that belongs to another daemon incarnation.
	WrongIncarnation Kind = "wrong_incarnation"
	// TicketExpired is a non-idempotent request with a ticket older than the window.
	TicketExpired Kind = "ticket_expired"
	// OutcomeUnknown is a non-idempotent request that may have run.
	OutcomeUnknown Kind = "outcome_unknown"
	// ShuttingDown means that the daemon takes no new requests.
	ShuttingDown Kind = "shutting_down"
	// NoConfiguration means that the daemon has no catalogue yet.
	NoConfiguration Kind = "no_configuration"
	// Internal is a fault of the daemon itself.
	Internal Kind = "internal"
)
