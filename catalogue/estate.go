package catalogue

import "medlaryard.example/medlaryard/account"

// EstateSpec holds the values that NewEstate takes.
type EstateSpec struct {
	// Generation grows by one with every accepted change.
	Generation uint64
	// Domains are the failure domains, in catalogue order.
	Domains []*Domain
	// Owners are the owners, in catalogue order.
	Owners []*Owner
	// Services are the services, in catalogue order.
	Services []*Service
}

// Estate is an accepted catalogue at one generation.
type Estate struct {
	spec     EstateSpec
	accounts *account.Directory
}

// NewEstate returns the immutable Estate that spec describes.
func NewEstate(spec EstateSpec) Estate {
	return Estate{spec: spec, accounts: newAccounts(spec.Owners)}
}

// newAccounts returns the directory of the owners, or nil if none has a key.
func newAccounts(owners []*Owner) *account.Directory {
	accounts := make([]*account.Account, len(owners))
	keys := 0
	for i, o := range owners {
		accounts[i] = account.New(o.Name(), account.Keys(o.KeyDigests()...))
		keys += len(o.KeyDigests())
	}
	if keys == 0 {
		return nil
	}
	return account.NewDirectory(accounts)
}

// Accounts finds owners by their API keys. It is nil if no owner has a key, so that
// requests need none.
func (e Estate) Accounts() *account.Directory { return e.accounts }

// Generation grows by one with every accepted change.
func (e Estate) Generation() uint64 { return e.spec.Generation }

// Domains are the failure domains, in catalogue order.
func (e Estate) Domains() []*Domain { return e.spec.Domains }

// Owners are the owners, in catalogue order.
func (e Estate) Owners() []*Owner { return e.spec.Owners }

// Services are the services, in catalogue order.
func (e Estate) Services() []*Service { return e.spec.Services }

// Domain returns the failure domain with the given name.
func (e Estate) Domain(name string) (*Domain, bool) { return findByName(e.spec.Domains, name) }

// Owner returns the owner with the given name.
func (e Estate) Owner(name string) (*Owner, bool) { return findByName(e.spec.Owners, name) }

// Service returns the service with the given name.
func (e Estate) Service(name string) (*Service, bool) { return findByName(e.spec.Services, name) }

// InService reports whether the failure domain accepts new work.
// A domain that the catalogue does not list accepts none.
func (e Estate) InService(domain string) bool {
	d, ok := e.Domain(domain)
	return ok && d.InService()
}

type named interface{ Name() string }

func findByName[T named](entries []T, name string) (T, bool) {
	for _, e := range entries {
		if e.Name() == name {
			return e, true
		}
	}
	var zero T
	return zero, false
}
