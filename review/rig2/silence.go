package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// contactTime and applyTime are bounds.contact_ms and bounds.config_apply_ms.
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
)

// playSilence makes all open connections to the store silent, waits until that counts no longer, and adds a route.
func playSilence(rec *record, trouble bool) (verdict, error) {
	r, err := newRack(rec, smallSetup(6))
	defer r.close()
	if err != nil {
		return verdict{}, err
	}
	q := route{name: "q", prefix: "/q/"}
	r.configure(3, q)
	if err := r.waitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	r.configure(7, q, route{name: "second", prefix: "/second/"})
	time.Sleep(300 * time.Millisecond)
	if trouble {
		for i, p := range r.storeProxies {
			rec.log("%d open connections of %s to the store go silent; new ones work", p.silence(), r.instances[i].name)
		}
	}
	time.Sleep(contactTime + 100*time.Millisecond)
	r.configure(12, q, route{name: "second", prefix: "/second/"}, route{name: "third", prefix: "/third/"})
	acked := time.Now()
	time.Sleep(applyTime + 50*time.Millisecond)
	var v verdict
	for time.Since(acked) < 8*time.Second {
		for _, n := range r.instances {
			sent := time.Since(acked)
			status, text := r.call(n, http.MethodGet, "/third/", "")
			if status != http.StatusNotFound {
				continue
			}
			rec.log("client: GET /third/ at %s, sent %s after the acknowledgement: 404 %s", n.name, sent.Round(time.Millisecond), text)
			if !v.broken {
				v = verdict{broken: true, text: fmt.Sprintf(
					"CONFIG: %s refuses a request with 404 that was sent %s after the acknowledgement of the configuration with its route, bound %s",
					n.name, sent.Round(time.Millisecond), applyTime)}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !v.broken {
		v.text = "the new route is known to all instances in time"
	}
	return v, nil
}
