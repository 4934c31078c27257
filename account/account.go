package account

// Account is a client account, on whose behalf requests are sent. It is
// immutable.
type Account struct {
	name        string
	digests     []Digest
	priority    int
	hasPriority bool
}

// Option sets one property of an Account.
type Option func(*Account)

// Keys adds API keys by their digests.
func Keys(digests ...Digest) Option {
	return func(a *Account) { a.digests = append(a.digests, digests...) }
}

// Priority sets the priority, which replaces that of the routes; 0 is the most
// urgent.
func Priority(rank int) Option {
	return func(a *Account) { a.priority, a.hasPriority = rank, true }
}

// New returns an account.
func New(name string, opts ...Option) *Account {
	a := &Account{name: name}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Name returns the name of the account.
func (a *Account) Name() string { return a.name }

// Priority returns the priority that replaces those of the routes, and whether it
// is set.
func (a *Account) Priority() (rank int, ok bool) { return a.priority, a.hasPriority }
