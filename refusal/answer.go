package refusal

// Retry advises a caller on sending a refused request again.
type Retry string

// The values of Retry.
const (
	RetryNever   Retry = "never"   // The same request is refused again.
	RetryLater   Retry = "later"   // After a delay, to any address.
	RetryElse    Retry = "else"    // At once, to another address.
	RetryAddress Retry = "address" // After requesting the addresses again.
	RetryConfirm Retry = "confirm" // Only after the caller has determined whether it ran.
)

// Answer is the part of a refusal that a Kind determines.
type Answer struct {
	kind   Kind
	status int
	ran    Ran
	retry  Retry
}

// Kind returns the kind that the answer belongs to.
func (a Answer) Kind() Kind { return a.kind }

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Ran returns what the kind alone states about whether the request ran.
func (a Answer) Ran() Ran { return a.ran }

// Retry returns the advice on sending the request again.
func (a Answer) Retry() Retry { return a.retry }

var table = []Answer{
	{Malformed, 400, NotRun, RetryNever},
	{TooLarge, 413, NotRun, RetryNever},
	{HeaderTooLarge, 431, NotRun, RetryNever},
	{TooSlow, 408, NotRun, RetryLater},
	{UnknownService, 404, NotRun, RetryNever},
	{Unauthenticated, 401, NotRun, RetryNever},
	{UnknownOwner, 403, NotRun, RetryNever},
	{ClassDenied, 403, NotRun, RetryNever},
	{RateLimited, 429, NotRun, RetryLater},
	{Overloaded, 503, NotRun, RetryElse},
	{Deadline, 504, Unknown, RetryConfirm},
	{Cancelled, 499, Unknown, RetryConfirm},
	{NoSearcher, 503, NotRun, RetryLater},
	{Cold, 503, NotRun, RetryLater},
	{SnapshotGone, 503, NotRun, RetryLater},
	{NoSnapshot, 503, NotRun, RetryLater},
	{BadReply, 502, Unknown, RetryConfirm},
	{SearcherFailed, 502, Unknown, RetryConfirm},
	{HomeUnreachable, 503, Unknown, RetryConfirm},
	{NotHome, 503, NotRun, RetryElse},
	{Poisoned, 422, NotRun, RetryNever},
	{WrongIncarnation, 409, NotRun, RetryAddress},
	{TicketExpired, 410, NotRun, RetryAddress},
	{OutcomeUnknown, 502, Unknown, RetryConfirm},
	{ShuttingDown, 503, NotRun, RetryAddress},
	{NoConfiguration, 503, NotRun, RetryElse},
	{Internal, 500, Unknown, RetryConfirm},
}

// Table returns one Answer for each Kind except None.
func Table() []Answer { return append([]Answer(nil), table...) }

// AnswerFor returns the Answer of kind. For a kind that is not in the table, such as one
// from a newer daemon, it returns the Answer of Internal.
func AnswerFor(kind Kind) Answer {
	for _, a := range table {
		if a.kind == kind {
			return a
		}
	}
	return AnswerFor(Internal)
}
