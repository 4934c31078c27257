package refusal

// Kind is the reason for a refusal, as written in answers and counter names.
type Kind string

// The kinds of refusals. The table in answer.go has a row for each except None.
const (
	// None marks an answer, not a refusal.
	None Kind = ""
	// Malformed is a request that cannot be decoded or has an invalid value.
	Malformed Kind = "malformed"
	// TooLarge is a request or reply over its size limit.
	TooLarge Kind = "too_large"
	// HeaderTooLarge is a request whose header is over its size limit.
	HeaderTooLarge Kind = "header_too_large"
	// TooSlow is a request whose body did not arrive in time.
	TooSlow Kind = "too_slow"
	// UnknownService is a service that the catalogue does not list.
	UnknownService Kind = "unknown_service"
	// Unauthenticated is a request without a known API key.
	Unauthenticated Kind = "unauthenticated"
	// UnknownOwner is an owner that the catalogue does not list.
	UnknownOwner Kind = "unknown_owner"
	// ClassDenied is a class that the owner may not use.
	ClassDenied Kind = "class_denied"
	// RateLimited is a request over its owner's limits.
	RateLimited Kind = "rate_limited"
	// Overloaded means that a queue or a table is full.
	Overloaded Kind = "overloaded"
	// Deadline is a request whose deadline passed.
	Deadline Kind = "deadline"
	// Cancelled is a request whose caller cancelled it or disconnected.
	Cancelled Kind = "cancelled"
	// NoSearcher means that no usable searcher serves the shard.
	NoSearcher Kind = "no_searcher"
	// Cold means that all usable searchers are in a cold start and at their limit.
	Cold Kind = "cold"
	// SnapshotGone means that the shard no longer has the requested snapshot.
	SnapshotGone Kind = "snapshot_gone"
	// NoSnapshot means that no snapshot is available.
	NoSnapshot Kind = "no_snapshot"
	// BadReply is a reply that cannot be decoded or has the wrong labels.
	BadReply Kind = "bad_reply"
	// SearcherFailed is an error reply or a failed connection of a searcher.
	SearcherFailed Kind = "searcher_failed"
	// HomeUnreachable means that neither the home nor an acting home responded.
	HomeUnreachable Kind = "home_unreachable"
	// NotHome means that the daemon holds no home lease for the group.
	NotHome Kind = "not_home"
	// Poisoned is a request that is equal to requests that crashed searchers.
	Poisoned Kind = "poisoned"
	// WrongIncarnation is a non-idempotent request that belongs to another daemon incarnation.
	WrongIncarnation Kind = "wrong_incarnation"
	// TicketExpired is a non-idempotent request with a ticket that is older than the setting once.window allows.
	TicketExpired Kind = "ticket_expired"
	// OutcomeUnknown is a non-idempotent request that may have run.
	OutcomeUnknown Kind = "outcome_unknown"
	// ShuttingDown means that the daemon accepts no new requests.
	ShuttingDown Kind = "shutting_down"
	// NoConfiguration means that the daemon has no catalogue yet.
	NoConfiguration Kind = "no_configuration"
	// Internal is a fault of the daemon itself.
	Internal Kind = "internal"
)
