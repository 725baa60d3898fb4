package setup

//go:generate go run ../../cmd/savory-setup --answers ../../examples/halloway/answers.yaml --out ../../examples/halloway/config.yaml
//go:generate go run ../../cmd/savory-setup --answers ../../examples/petra/answers.yaml --out ../../examples/petra/config.yaml
