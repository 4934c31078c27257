package node

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against callers that are sent to another region although daemons of
// their own answer, and against callers that are sent nowhere.
func TestCallersAreSentToTheirRegion(t *testing.T) {
	near := offer{"near", "r1", serves}
	spare := offer{"spare", "r1", standby}
	lost := offer{"lost", "r1", silent}
	far := offer{"far", "r2", serves}
	farLost := offer{"far lost", "r2", silent}
	for _, c := range []struct {
		name   string
		offers []offer
		want   []string
	}{
		{"own region serves", []offer{far, near, spare}, []string{"near"}},
		{"own region stands by", []offer{far, spare}, []string{"spare"}},
		{"own region has fallen silent", []offer{lost, far}, []string{"far"}},
		{"all have fallen silent", []offer{farLost, lost}, []string{"lost"}},
		{"only another region was ever heard", []offer{farLost}, []string{"far lost"}},
	} {
		if diff := cmp.Diff(c.want, choose(c.offers, "r1")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}
