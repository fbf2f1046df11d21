package router

import (
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// bearerScheme is the authentication scheme of customers' keys, which is compared without
// regard to case.
const bearerScheme = "Bearer"

// authenticate sets the customer that holds the request's key, or whether the request is
// a call of the backend server. It refuses a request that needs a key and has none that is
// in force.
func (r *Router) authenticate(request *callerRequest, header *protocol.RequestHeader) *refusal {
	if !request.catalog.HasCustomers() {
		detectCall(request, r.deps.NestedCall)
		return nil
	}
	key, given := bearerKey(header)
	customer, known := request.catalog.KeyHolder(key)
	switch {
	case known:
		request.customer = customer
		return nil
	case request.route.Public:
		detectCall(request, r.deps.NestedCall)
		return nil
	case !given:
		// Backend servers send calls without a key.
		detectCall(request, r.deps.KeylessCall)
	}
	if request.nested {
		return nil
	}
	return notRun(consts.StatusUnauthorized, "UnknownKey")
}

// detectCall sets whether the request is a call. It asks once for each request, since the
// answer is also a sample for the estimate of other requests.
func detectCall(request *callerRequest, detect func(route uint64) (bool, float64)) {
	if !request.drawn {
		request.nested, request.parentRetryProbability = detect(request.routeHash)
	}
}

// bearerKey returns the key in a request's Authorization header, empty if it is malformed,
// and whether there is such a header.
func bearerKey(header *protocol.RequestHeader) (key string, given bool) {
	fields := header.PeekAll(consts.HeaderAuthorization)
	if len(fields) == 0 {
		return "", false
	}
	scheme, key, _ := strings.Cut(string(fields[0]), " ")
	if len(fields) > 1 || !strings.EqualFold(scheme, bearerScheme) {
		return "", true
	}
	return strings.TrimSpace(key), true
}
