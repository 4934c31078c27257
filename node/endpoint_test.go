package node

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against callers that are sent to another region although daemons of
// their own region respond, and against callers that get no address.
func TestSelectAddresses(t *testing.T) {
	near := callerEndpoint{"near", "r1", stateServing}
	spare := callerEndpoint{"spare", "r1", stateStandby}
	lost := callerEndpoint{"lost", "r1", stateSilent}
	far := callerEndpoint{"far", "r2", stateServing}
	farLost := callerEndpoint{"far lost", "r2", stateSilent}
	for _, c := range []struct {
		name      string
		endpoints []callerEndpoint
		want      []string
	}{
		{"own region is serving", []callerEndpoint{far, near, spare}, []string{"near"}},
		{"own region is on standby", []callerEndpoint{far, spare}, []string{"spare"}},
		{"own region is silent", []callerEndpoint{lost, far}, []string{"far"}},
		{"all regions are silent", []callerEndpoint{farLost, lost}, []string{"lost"}},
		{"only another region is known", []callerEndpoint{farLost}, []string{"far lost"}},
	} {
		if diff := cmp.Diff(c.want, selectAddresses(c.endpoints, "r1")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}
