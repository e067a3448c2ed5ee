// The operator's own file: what is set beside the platform's configuration. This one shows a web tier that speaks uwsgi
// before the same methods as the routers', with the account pages' work done by a pool of application servers.
// Nothing here is switched on by the line run in balancer.toml.
package sorrelvalve

version: "example 1"

uwsgi: listen: "127.0.0.1:3031"

_customer: {
	variable: "PROVIDER"
	names: {kw: "kaipara-wireless", ra: "ruapehu-air", mn: "maniototo-net"}
}

routes: {
	"view": {
		path:     "/accounts/{id}"
		verb:     "GET"
		method:   "account-view"
		type:     "application/json"
		customer: _customer
		caller: variable: "REMOTE_ADDR"
		subject: segment: "id"
	}
	"save": {
		path:     "/accounts/{id}/settings"
		verb:     "PUT"
		method:   "settings-save"
		customer: _customer
		caller: variable: "REMOTE_ADDR"
	}
	"topup": {
		path:     "/accounts/{id}/topups"
		verb:     "POST"
		method:   "topup-buy"
		customer: _customer
		caller: variable: "REMOTE_ADDR"
		token: variable:  "HTTP_IDEMPOTENCY_KEY"
		retry: variable:  "HTTP_X_SECOND_TRY"
	}
}

pools: "pages": members: ["127.0.0.1:4101", "127.0.0.1:4102"]

methods: "account-view": {
	pool: "pages"
	path: "/account"
	verb: "GET"
}
