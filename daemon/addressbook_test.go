package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"medlaryard.example/medlaryard/catalogue/evaluate"
	"medlaryard.example/medlaryard/entry"
)

// withdraw takes a failure domain of catalogueText out of service.
func withdraw(text, domain string) string {
	line := "{name: " + domain + ", region: local"
	return strings.Replace(text, line, line+", in_service: false", 1)
}

// Guards against returning callers addresses in a failure domain that is out of
// service, and against an empty response when only such daemons are left.
func TestAddressesAvoidWithdrawnDomain(t *testing.T) {
	var servers []string
	for i := range 11 {
		servers = append(servers, fmt.Sprintf("127.0.0.1:%d", 9000+i))
	}
	estate, err := evaluate.Text("test", []byte(withdraw(catalogueText(servers), "domain-b")), 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		members string // Pairs of name and domain.
		down    string
		want    string
		entries int
	}{
		{"one domain out of service", "a1:domain-a a2:domain-a b1:domain-b", "", "a1 a2", 2},
		{"domain missing from the catalogue", "b1:domain-b c1:domain-c", "", "c1", 1},
		{"only withdrawn daemons", "b1:domain-b b2:domain-b", "", "b1 b2", 2},
		{"only a withdrawn daemon responds", "a1:domain-a b1:domain-b b2:domain-b", "a1 b2", "b1", 1},
		{"no daemon responds", "a1:domain-a b1:domain-b", "a1 b1", "", 1},
	} {
		var book addressBook
		for m := range strings.FieldsSeq(test.members) {
			name, domain, _ := strings.Cut(m, ":")
			book.add(estate, callerAddress{entry.NewAddress(name, name, domain), name})
		}
		var got []string
		for _, a := range book.reachable(func(m string) bool { return !strings.Contains(test.down, m) }) {
			got = append(got, a.Address())
		}
		if strings.Join(got, " ") != test.want || book.entryCount() != test.entries {
			t.Errorf("%s: got addresses %q of %d entries, want %q of %d", test.name, got, book.entryCount(), test.want, test.entries)
		}
	}
}

// Guards against a daemon that returns its own address while its domain is out of
// service, and against a missing address after the domain is in service again.
func TestWithdrawnDaemonRemovedFromAddresses(t *testing.T) {
	f := newFixture(t, 2)
	f.startIn(2, "domain-b")
	f.waitReady()
	listed := func(n int) func() bool {
		return func() bool {
			for _, m := range f.members {
				r, err := call(http.MethodGet, "http://"+m.callers+"/v1/addresses", nil)
				if err != nil || len(r.Addresses) != n {
					return false
				}
				for _, a := range r.Addresses {
					if n < 3 && a.Address == f.members[2].callers {
						return false
					}
				}
			}
			return true
		}
	}
	f.apply(1, withdraw(f.catalogue, "domain-b"))
	f.waitFor("address response without the domain", listed(2))
	if r, err := query(f.members[2].callers, "la"); err != nil || r.Coverage.Fraction != 1 {
		t.Errorf("query to the daemon of the withdrawn domain: %+v, %v", r, err)
	}
	f.apply(2, f.catalogue)
	f.waitFor("address response with the domain", listed(3))
}
