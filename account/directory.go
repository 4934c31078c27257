package account

import (
	"crypto/subtle"
	"encoding/binary"
	"fmt"
)

// Directory holds the accounts of one version of the configuration. It is
// immutable.
type Directory struct {
	accounts []*Account
	entries  map[uint64][]entry // By the first bytes of the digest.
	keys     int
	faults   []Fault
	conflict int
	labels   map[string]string // By the names of their accounts.
}

// entry is one key. Its account is nil if several accounts hold the key.
type entry struct {
	digest  Digest
	account *Account
}

// Fault is a fault in the configuration of the accounts. It does not contain
// keys.
type Fault struct {
	path string
	text string
}

// NewFault returns a fault at a path of the configuration, such as "tenants[2]".
func NewFault(path, format string, args ...any) Fault {
	return Fault{path: path, text: fmt.Sprintf(format, args...)}
}

// Error returns the path and the description.
func (f Fault) Error() string { return f.path + ": " + f.text }

// NewDirectory returns the directory of the given accounts. Accounts of the same
// name are one account with the keys of all of them and the first priority that
// is set. A key of several accounts identifies none of them. The given faults
// are those that decoding found; NewDirectory adds its own.
func NewDirectory(accounts []*Account, faults ...Fault) *Directory {
	d := &Directory{entries: make(map[uint64][]entry), faults: faults}
	byName := make(map[string]*Account, len(accounts))
	for _, a := range accounts {
		merged := byName[a.name]
		switch {
		case merged == nil:
			merged = &Account{name: a.name, priority: a.priority, hasPriority: a.hasPriority}
			byName[a.name] = merged
			d.accounts = append(d.accounts, merged)
		case !merged.hasPriority:
			merged.priority, merged.hasPriority = a.priority, a.hasPriority
			d.addFault(a.name, "is listed several times; its keys are taken together")
		default:
			d.addFault(a.name, "is listed several times; its keys are taken together")
		}
		for _, digest := range a.digests {
			d.addKey(digest, merged)
		}
	}
	d.assignLabels()
	return d
}

func (d *Directory) addFault(name, format string, args ...any) {
	d.faults = append(d.faults, NewFault(fmt.Sprintf("account %q", name), format, args...))
}

func (d *Directory) addKey(digest Digest, a *Account) {
	bucket := d.entries[digest.bucket()]
	for i := range bucket {
		if bucket[i].digest != digest {
			continue
		}
		switch holder := bucket[i].account; {
		case holder == nil:
			d.addFault(a.name, "the key with SHA-256 %s... belongs to other accounts as well and identifies none", digest.Short())
		case holder == a:
			d.addFault(a.name, "the key with SHA-256 %s... is listed several times", digest.Short())
		default:
			d.addFault(a.name, "the key with SHA-256 %s... belongs to account %q as well and identifies neither", digest.Short(), holder.name)
			bucket[i].account = nil
			d.conflict++
		}
		return
	}
	d.entries[digest.bucket()] = append(bucket, entry{digest: digest, account: a})
	d.keys++
}

// bucket returns the part of the digest by which entries are found. The time of
// a lookup may reveal it, but an attacker cannot choose keys by their digests.
func (d Digest) bucket() uint64 { return binary.BigEndian.Uint64(d[:8]) }

// Result is the result of a lookup.
type Result int

// The results of Identify.
const (
	Known    Result = iota // The key belongs to one account.
	NoKey                  // The key is empty.
	Unknown                // No account holds the key.
	Conflict               // Several accounts hold the key.
)

// Identify returns the account that holds the key, or nil. Whole digests are
// compared in constant time.
func (d *Directory) Identify(key string) (*Account, Result) {
	if key == "" {
		return nil, NoKey
	}
	digest := DigestOf(key)
	for _, e := range d.entries[digest.bucket()] {
		if subtle.ConstantTimeCompare(e.digest[:], digest[:]) != 1 {
			continue
		}
		if e.account == nil {
			return nil, Conflict
		}
		return e.account, Known
	}
	return nil, Unknown
}

// Accounts returns all accounts in the order of the configuration.
func (d *Directory) Accounts() []*Account { return d.accounts }

// Keys returns the number of different keys.
func (d *Directory) Keys() int { return d.keys }

// Conflicts returns the number of keys that several accounts hold.
func (d *Directory) Conflicts() int { return d.conflict }

// Faults returns the faults of the accounts in the configuration.
func (d *Directory) Faults() []Fault { return d.faults }
