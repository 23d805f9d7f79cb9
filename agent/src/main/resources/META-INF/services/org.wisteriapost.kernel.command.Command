org.wisteriapost.agent.AgentCommand
