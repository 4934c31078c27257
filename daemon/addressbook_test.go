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

// Guards against callers that are sent into a failure domain out of service, and
// against an empty answer when only such daemons are left.
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
		{"one domain is out", "a1:domain-a a2:domain-a b1:domain-b", "", "a1 a2", 2},
		{"domain is not in the catalogue", "b1:domain-b c1:domain-c", "", "c1", 1},
		{"only withdrawn ones are left", "b1:domain-b b2:domain-b", "", "b1 b2", 2},
		{"no other one answers", "a1:domain-a b1:domain-b b2:domain-b", "a1 b2", "b1", 1},
		{"nobody answers", "a1:domain-a b1:domain-b", "a1 b1", "", 1},
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
		if strings.Join(got, " ") != test.want || book.entries() != test.entries {
			t.Errorf("%s: %q of %d entries, want %q of %d", test.name, got, book.entries(), test.want, test.entries)
		}
	}
}

// Guards against a daemon that gives out itself while its domain is out of
// service, and against one that stays away after the domain returns.
func TestWithdrawnDaemonLeavesAddresses(t *testing.T) {
	y := newFixture(t, 2)
	y.startIn(2, "domain-b")
	y.ready()
	listed := func(n int) func() bool {
		return func() bool {
			for _, m := range y.members {
				r, err := call(http.MethodGet, "http://"+m.callers+"/v1/addresses", nil)
				if err != nil || len(r.Addresses) != n {
					return false
				}
				for _, a := range r.Addresses {
					if n < 3 && a.Address == y.members[2].callers {
						return false
					}
				}
			}
			return true
		}
	}
	y.apply(1, withdraw(y.text, "domain-b"))
	y.until("address answer without the domain", listed(2))
	if r, err := query(y.members[2].callers, "la"); err != nil || r.Coverage.Fraction != 1 {
		t.Errorf("daemon of the domain answers %+v, %v", r, err)
	}
	y.apply(2, y.text)
	y.until("address answer with the domain", listed(3))
}
