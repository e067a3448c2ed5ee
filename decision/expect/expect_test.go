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

// Each expectation, what the settings were changed by, and what is said of it; "" if it holds.
func TestExpectations(t *testing.T) {
	buy := Expectation{Path: "/buy/7", Verb: "POST", Method: "topup-buy", Customer: "kaipara"}
	for _, c := range []struct {
		name       string
		x          Expectation
		change     func(*Settings)
		want       string
		untestable bool
	}{
		{"holds", buy, nil, "", false},
		{"an order", Expectation{First: "account-view", Then: "topup-buy"}, nil, "", false},
		{"an order of equals", Expectation{First: "account-view", Then: "settings-save"}, nil, "no less", false},
		{"an order that quotas turn round", Expectation{First: "account-view", Then: "topup-buy", OverQuota: true}, nil, "beyond its quota", false},
		{"an edit elsewhere: another route takes it", buy, func(settings *Settings) {
			settings.Routes = append(settings.Routes, route.Rule{Name: "new", Path: "/buy/7", Verb: "POST", Method: "account-view", Customer: route.Source{Fixed: "kaipara"}})
		}, "by route new it becomes account-view", false},
		{"an edit elsewhere: the route is gone", buy, func(settings *Settings) { settings.Routes = settings.Routes[1:] }, "no RPC comes of it", false},
		{"an edit elsewhere: criticality", Expectation{First: "account-view", Then: "topup-buy"}, func(settings *Settings) { settings.Criticality["topup-buy"] = 1 }, "no less", false},
		{"another customer", Expectation{Path: "/buy/7", Verb: "POST", Method: "topup-buy", Customer: "ruapehu"}, nil, `"kaipara"`, false},
		{"another pool", Expectation{Path: "/account/1", Verb: "GET", Query: "c=k", Method: "account-view", Pool: "old"}, nil, "pool pages", false},
		{"the engine's", Expectation{Path: "/buy/7", Verb: "POST", Method: "topup-buy", Pool: "pages"}, nil, "the engine", false},
		{"a value that its route does not take", Expectation{Path: "/account/1", Verb: "GET", Query: "c=x", Method: "account-view"}, nil, "no RPC comes of it", false},
		{"taken by none", Expectation{Path: "/admin", Verb: "GET", Unrouted: true}, nil, "", false},
		{"taken by one, and none wanted", Expectation{Path: "/buy/7", Verb: "POST", Unrouted: true}, nil, "route buy takes it", false},
		{"nothing in it", Expectation{}, nil, "neither", true},
		{"both", Expectation{Path: "/x", Verb: "GET", Method: "topup-buy", First: "a", Then: "b"}, nil, "at once", true},
		{"no such method", Expectation{Path: "/x", Verb: "GET", Method: "topup"}, nil, "no method", true},
		{"an order with itself", Expectation{First: "topup-buy", Then: "topup-buy"}, nil, "itself", true},
		{"half an order", Expectation{First: "topup-buy"}, nil, "expected", true},
		{"an order with a stranger", Expectation{First: "x", Then: "topup-buy"}, nil, "no method", true},
		{"a path that is none", Expectation{Path: "buy", Verb: "POST", Method: "topup-buy"}, nil, "slash", true},
		{"a verb that is none", Expectation{Path: "/buy/7", Verb: "BREW", Method: "topup-buy"}, nil, "no verb", true},
		{"a method and none", Expectation{Path: "/buy/7", Verb: "POST", Method: "topup-buy", Unrouted: true}, nil, "either", true},
		{"none, and a pool", Expectation{Path: "/admin", Verb: "GET", Unrouted: true, Pool: "pages"}, nil, "no pool", true},
		{"settings that are not known here", Expectation{First: "account-view", Then: "topup-buy"}, func(settings *Settings) { settings.Methods, settings.Criticality = nil, nil }, "", false},
	} {
		settings := testSettings()
		if c.change != nil {
			c.change(&settings)
		}
		got := Check(map[string]Expectation{"x": c.x}, settings)
		if c.want == "" {
			if len(got) > 0 {
				t.Errorf("%s: %+v", c.name, got)
			}
			continue
		}
		if len(got) != 1 || got[0].Name != "x" || !strings.Contains(got[0].Text, c.want) || got[0].Untestable != c.untestable {
			t.Errorf("%s: %+v, %q wanted", c.name, got, c.want)
		}
	}
}
