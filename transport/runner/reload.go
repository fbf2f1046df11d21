package runner

import (
	"reflect"

	"github.com/foxtailhall/foxtailhall/state/loader"
)

// Reload replaces the settings. Addresses are bound at the start of the process,
// so changes to them take effect only after a restart.
func (r *Runner) Reload(settings loader.Settings) {
	before := r.settings.Swap(&settings)
	changed := changedFields(*before, settings)
	r.deps.Log.Info("SettingsReloaded", "Changed", changed)
	r.deps.Meter.CountEvent("SettingsReloaded")
	r.requestRefresh()
}

// changedFields returns the names of the fields that differ.
func changedFields(before, after loader.Settings) []string {
	var names []string
	old, next := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		if !reflect.DeepEqual(old.Field(i).Interface(), next.Field(i).Interface()) {
			names = append(names, old.Type().Field(i).Name)
		}
	}
	return names
}
