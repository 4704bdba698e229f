package node

import "os"

// SettingsVariable is the environment variable with the path of the settings file.
const SettingsVariable = "SPRUCELANE_SETTINGS"

// Load reads the settings file that SettingsVariable names. The error is of type Findings.
func Load() (*Settings, error) {
	path := os.Getenv(SettingsVariable)
	if path == "" {
		return nil, Findings{{Place: SettingsVariable, Text: "the variable with the settings file's path is not set"}}
	}
	return LoadFile(path)
}

// LoadFile reads a settings file. The error is of type Findings, and has all errors of the file with their
// locations.
func LoadFile(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Findings{{Place: path, Text: err.Error()}}
	}
	return Parse(path, text)
}
