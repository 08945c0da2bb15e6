package quarantine

import (
	"testing"

	"mimosaarch.example/core/ids"
)

// Guards against a request that stays refused on a node that asked its peers before a success
// cleared the request, and did not get the announcement.
func TestNodeThatAsksAgainHearsOfASuccess(t *testing.T) {
	keeper, started := NewDecider(), NewDecider()
	role := Role{Keeper: true}
	tell := func(ms int) {
		reports, verdicts := keeper.Knowledge(at(ms))
		for _, r := range reports {
			started.AddReport(at(ms), r)
		}
		for _, v := range verdicts {
			started.AddVerdict(at(ms), v)
		}
	}
	for i, upstream := range []string{"u1", "u2"} {
		began := at(i * 500)
		keeper.RecordDeath(at(i*500+50), at(i*500+50), simService, ids.Upstream(upstream), "", []Run{{Fingerprint: "f", Began: began}})
	}
	keeper.Review(at(2000), func(ids.Service) Role { return role })
	tell(2100)
	if refused, _, _ := started.Check(at(2100), simService, "f", Role{}); !refused {
		t.Fatal("the verdict was not learned")
	}
	keeper.RecordSuccess(at(2200), simService, "f")
	if refused, _, _ := keeper.Check(at(2300), simService, "f", Role{}); refused {
		t.Fatal("the success did not clear the request")
	}
	tell(3100)
	if refused, _, _ := started.Check(at(3100), simService, "f", Role{}); refused {
		t.Error("still refused after the node has asked again")
	}
}
