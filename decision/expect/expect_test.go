package expect

import (
	"strings"
	"testing"

	"sorrelvalve/decision/route"
)

func testSettings() Settings {
	return Settings{
		Routes: []route.Rule{
			{Name: "buy", Path: "/buy/{key}", Verb: "POST", Method: "topup-buy", Customer: route.Source{Fixed: "kaipara"}, Token: route.Source{Segment: "key"}},
			{Name: "view", Path: "/account/*", Method: "account-view", Customer: route.Source{Query: "c", Names: map[string]string{"k": "kaipara"}}},
		},
		Pools:             map[string]string{"account-view": "pages"},
		Methods:           []string{"account-view", "settings-save", "topup-buy"},
		Criticality:       map[string]float64{"account-view": 1, "settings-save": 1, "topup-buy": 3},
		OverQuotaFraction: 0.1,
	}
}

// Each case has an expectation, a change to the settings, and a part of the failure's text; "" if the expectation holds.
func TestExpectations(t *testing.T) {
	buy := Expectation{Path: "/buy/7", Verb: "POST", Method: "topup-buy", Customer: "kaipara"}
	for _, test := range []struct {
		name        string
		expectation Expectation
		change      func(*Settings)
		want        string
		untestable  bool
	}{
		{"request routed as expected", buy, nil, "", false},
		{"methods in the expected order", Expectation{First: "account-view", Then: "topup-buy"}, nil, "", false},
		{"order of methods with equal criticality", Expectation{First: "account-view", Then: "settings-save"}, nil, "no less", false},
		{"order reversed over quota", Expectation{First: "account-view", Then: "topup-buy", OverQuota: true}, nil, "beyond its quota", false},
		{"settings changed: another route matches", buy, func(settings *Settings) {
			settings.Routes = append(settings.Routes, route.Rule{Name: "new", Path: "/buy/7", Verb: "POST", Method: "account-view", Customer: route.Source{Fixed: "kaipara"}})
		}, "by route new it becomes account-view", false},
		{"settings changed: route removed", buy, func(settings *Settings) { settings.Routes = settings.Routes[1:] }, "no RPC comes of it", false},
		{"settings changed: criticality", Expectation{First: "account-view", Then: "topup-buy"}, func(settings *Settings) { settings.Criticality["topup-buy"] = 1 }, "no less", false},
		{"wrong customer", Expectation{Path: "/buy/7", Verb: "POST", Method: "topup-buy", Customer: "ruapehu"}, nil, `"kaipara"`, false},
		{"wrong pool", Expectation{Path: "/account/1", Verb: "GET", Query: "c=k", Method: "account-view", Pool: "old"}, nil, "pool pages", false},
		{"method served by the engine instead of a pool", Expectation{Path: "/buy/7", Verb: "POST", Method: "topup-buy", Pool: "pages"}, nil, "the engine", false},
		{"value that the route does not accept", Expectation{Path: "/account/1", Verb: "GET", Query: "c=x", Method: "account-view"}, nil, "no RPC comes of it", false},
		{"unrouted as expected", Expectation{Path: "/admin", Verb: "GET", Unrouted: true}, nil, "", false},
		{"routed, but expected unrouted", Expectation{Path: "/buy/7", Verb: "POST", Unrouted: true}, nil, "route buy takes it", false},
		{"empty expectation", Expectation{}, nil, "neither", true},
		{"both a request and an order", Expectation{Path: "/x", Verb: "GET", Method: "topup-buy", First: "a", Then: "b"}, nil, "at once", true},
		{"unknown method", Expectation{Path: "/x", Verb: "GET", Method: "topup"}, nil, "no method", true},
		{"order of a method with itself", Expectation{First: "topup-buy", Then: "topup-buy"}, nil, "itself", true},
		{"order with one method", Expectation{First: "topup-buy"}, nil, "expected", true},
		{"order with an unknown method", Expectation{First: "x", Then: "topup-buy"}, nil, "no method", true},
		{"invalid path", Expectation{Path: "buy", Verb: "POST", Method: "topup-buy"}, nil, "slash", true},
		{"invalid verb", Expectation{Path: "/buy/7", Verb: "BREW", Method: "topup-buy"}, nil, "no verb", true},
		{"method and unrouted", Expectation{Path: "/buy/7", Verb: "POST", Method: "topup-buy", Unrouted: true}, nil, "either", true},
		{"unrouted and pool", Expectation{Path: "/admin", Verb: "GET", Unrouted: true, Pool: "pages"}, nil, "no pool", true},
		{"methods and criticality unknown", Expectation{First: "account-view", Then: "topup-buy"}, func(settings *Settings) { settings.Methods, settings.Criticality = nil, nil }, "", false},
	} {
		settings := testSettings()
		if test.change != nil {
			test.change(&settings)
		}
		got := Check(map[string]Expectation{"x": test.expectation}, settings)
		if test.want == "" {
			if len(got) > 0 {
				t.Errorf("%s: unexpected failures %+v", test.name, got)
			}
			continue
		}
		if len(got) != 1 || got[0].Name != "x" || !strings.Contains(got[0].Text, test.want) || got[0].Untestable != test.untestable {
			t.Errorf("%s: failures: got %+v, want one with %q", test.name, got, test.want)
		}
	}
}
